package plumpost.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import plumpost.config.Json;
import plumpost.config.Json.BadInput;
import plumpost.config.JsonObjectStream;
import plumpost.config.NodeListReader;
import plumpost.http.AnswerEncoder;
import plumpost.http.AnswerReader;
import plumpost.http.BadMessageException;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.time.TimerWheel;

/**
 * One request for the node list, whose answer stays open and carries one JSON object for each change. The call ends with the
 * first failure or when it is closed; after that its listener is not called any more.
 */
final class DiscoveryCall implements ConnectionHandler {
    /** In place of a version: requests the whole list rather than the changes since a version. */
    static final long WHOLE_LIST = -1;
    /** Discovery sends an empty line every 2 s; an open answer without any byte for this long has lost its connection. */
    private static final double MAX_SILENCE_MS = 2_500;
    /** The connect timeout. Discovery queues requests but accepts connections at once, so a slow one is unreachable. */
    private static final double CONNECT_TIMEOUT_MS = 1_000;
    /** Changes may still follow an empty line at the start of the answer; if none has come after this time, there are none. */
    private static final double NO_CHANGES_MS = 250;
    /** One list object may take up the heap size divided by this, so that reading it cannot exhaust the memory. */
    private static final long MAX_LIST_HEAP_DIVISOR = 8;

    private static final int MIN_LIST_LIMIT_BYTES = 1 << 20;

    /** The reason for which a call has failed. */
    enum Failure {
        /** The connection was refused or not established in time: discovery cannot be reached. */
        UNREACHABLE,
        /** Discovery answered with a status other than 200. */
        REFUSED,
        /** The connection was closed or the answer ended. */
        ENDED,
        /** The answer is not a valid node list. */
        MALFORMED,
        /** The changes are numbered below the requested version: the service has restarted its numbering. */
        VERSION_WENT_BACK
    }

    /** Receives the events of a call. */
    interface Listener {
        /** The first byte of the answer's body has arrived. */
        void answered(DiscoveryCall call);

        /** The answer began with an empty line: nothing has changed since the requested version. */
        void unchanged(DiscoveryCall call);

        /** A whole list or changes have arrived; {@code text} is the JSON object as received. */
        void listed(DiscoveryCall call, NodeListReader.NodeListUpdate update, String text);

        /** Nothing has arrived for longer than the protocol allows; the call stays open. */
        void silent(DiscoveryCall call);

        /** The call has failed and ended; {@code detail} is for the log. */
        void failed(DiscoveryCall call, Failure failure, String detail);
    }

    private final LoopContext context;
    private final NodeListReader reader;
    private final Listener listener;
    private final InetSocketAddress service;
    private final long since;
    private final AnswerReader response;
    private final JsonObjectStream objects;
    private final Connection connection;
    private TimerWheel.Timer silenceTimer;
    private double lastReceivedMs;
    private boolean connected;
    private boolean answered;
    private boolean listed;
    private boolean closed;

    /** Opens a call for the changes after the version {@code since}, or for {@link #WHOLE_LIST}. */
    DiscoveryCall(
            LoopContext context, NodeListReader reader, InetSocketAddress service, long since, Listener listener) {
        this.context = context;
        this.reader = reader;
        this.service = service;
        this.since = since;
        this.listener = listener;
        int maxListBytes = (int) Math.min(
                Integer.MAX_VALUE,
                Math.max(MIN_LIST_LIMIT_BYTES, Runtime.getRuntime().maxMemory() / MAX_LIST_HEAP_DIVISOR));
        response = new AnswerReader(maxListBytes);
        objects = new JsonObjectStream("a list", maxListBytes);
        connection = context.network().dial(service, opened -> this);
        context.wheel().schedule(context.clock().nowMs() + CONNECT_TIMEOUT_MS, this::checkConnected);
    }

    private void checkConnected() {
        if (!connected) {
            fail(Failure.UNREACHABLE, "no connection");
        }
    }

    /** Returns whether a list or changes have arrived. */
    boolean hasListed() {
        return listed;
    }

    @Override
    public void opened() {
        connected = true;
        String path = "/registry/instances?follow=1" + (since == WHOLE_LIST ? "" : "&since=" + since);
        String host = service.getHostString() + ':' + service.getPort();
        connection.write(AnswerEncoder.ascii("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n"));
    }

    @Override
    public void received(ByteBuffer received) {
        try {
            boolean complete = response.feed(received);
            if (!response.hasHead()) {
                return;
            }
            if (response.status() != 200) {
                fail(Failure.REFUSED, "status " + response.status());
                return;
            }
            readBody(response.takeBody());
            if (complete) {
                fail(Failure.ENDED, "ended");
            }
        } catch (BadMessageException | BadInput e) {
            context.counters().count("list.malformed");
            fail(Failure.MALFORMED, "malformed: " + e.getMessage());
        }
    }

    private void readBody(byte[] received) {
        if (received.length == 0) {
            return;
        }
        lastReceivedMs = context.clock().nowMs();
        if (!answered) {
            answered = true;
            watchForSilence();
            if (since != WHOLE_LIST) {
                context.wheel().schedule(lastReceivedMs + NO_CHANGES_MS, this::checkUnchanged);
            }
            listener.answered(this);
        }
        objects.feed(received, this::readListing);
    }

    private void checkUnchanged() {
        if (!closed && !listed && !objects.isIncomplete()) {
            listener.unchanged(this);
        }
    }

    private void readListing(Json.Fields fields, byte[] text) {
        if (closed) {
            return;
        }
        NodeListReader.NodeListUpdate update = reader.read(fields);
        if (!update.complete() && !listed && update.version() < since) {
            fail(Failure.VERSION_WENT_BACK, "changes numbered " + update.version() + " after version " + since);
            return;
        }
        listed = true;
        listener.listed(this, update, new String(text, StandardCharsets.UTF_8).strip());
    }

    private void watchForSilence() {
        silenceTimer = context.wheel().schedule(lastReceivedMs + MAX_SILENCE_MS, () -> {
            if (context.clock().nowMs() - lastReceivedMs >= MAX_SILENCE_MS) {
                listener.silent(this);
            } else {
                watchForSilence();
            }
        });
    }

    @Override
    public void ended() {
        fail(connected ? Failure.ENDED : Failure.UNREACHABLE, "connection ended");
    }

    private void fail(Failure failure, String detail) {
        if (!closed) {
            close();
            listener.failed(this, failure, detail);
        }
    }

    /** Closes the call; its listener is not called any more. */
    void close() {
        closed = true;
        if (silenceTimer != null) {
            silenceTimer.cancel();
        }
        connection.closeNow();
    }
}
