package plumpost.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import plumpost.config.Json;
import plumpost.config.Json.BadInput;
import plumpost.config.NodeListReader;
import plumpost.config.ObjectStream;
import plumpost.http.AnswerReader;
import plumpost.http.Answers;
import plumpost.http.BadMessage;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.time.TimerWheel;

/**
 * One call for the node list: a request whose answer stays open and carries one JSON object for each change. It is over
 * after the first failure, or once it is closed; then its listener hears nothing more of it.
 */
final class DiscoveryCall implements ConnectionHandler {
    /** Asks for the whole list, in place of what changed since a version. */
    static final long WHOLE_LIST = -1;
    /** The protocol sends an empty line every 2 s: an open answer without a byte for longer has lost its connection. */
    private static final double SILENCE_MS = 2_500;
    /** A service that has not accepted the connection by now cannot be reached: it answers in turn, but accepts at once. */
    private static final double CONNECT_TIMEOUT_MS = 1_000;
    /** After an empty line at the start the changes may still follow; without any for so long there are none. */
    private static final double NO_CHANGES_MS = 250;
    /** One object of a list may take up this part of the heap, so that reading it cannot exhaust the process. */
    private static final long HEAP_PARTS = 8;

    private static final int SMALLEST_LIST_LIMIT = 1 << 20;

    /** Why a call is over. */
    enum Failure {
        /** The connection was refused or did not come up in time: discovery cannot be reached. */
        UNREACHABLE,
        /** Discovery answered with another status than 200. */
        REFUSED,
        /** The connection or the answer ended. */
        ENDED,
        /** What came is no node list. */
        MALFORMED,
        /** The changes are numbered below the version that was asked for: the service counts anew. */
        VERSION_WENT_BACK
    }

    /** Hears what one call brings. */
    interface Listener {
        /** The answer has begun. */
        void answered(DiscoveryCall call);

        /** The answer began with an empty line: nothing has changed since the version that was asked for. */
        void unchanged(DiscoveryCall call);

        /** A whole list or changes; {@code text} is the object as it came. */
        void listed(DiscoveryCall call, NodeListReader.Listing listing, String text);

        /** Nothing has come for longer than the protocol allows; the call stays open. */
        void silent(DiscoveryCall call);

        /** The call is over; {@code detail} is for the log. */
        void failed(DiscoveryCall call, Failure failure, String detail);
    }

    private final LoopContext kit;
    private final NodeListReader reader;
    private final Listener listener;
    private final InetSocketAddress service;
    private final long since;
    private final AnswerReader answer;
    private final ObjectStream objects;
    private final Connection connection;
    private TimerWheel.Timer silenceTimer;
    private double heardAt;
    private boolean connected;
    private boolean answered;
    private boolean listed;
    private boolean over;

    /** Opens a call for what changed after the version {@code since}, or for {@link #WHOLE_LIST}. */
    DiscoveryCall(LoopContext kit, NodeListReader reader, InetSocketAddress service, long since, Listener listener) {
        this.kit = kit;
        this.reader = reader;
        this.service = service;
        this.since = since;
        this.listener = listener;
        int limit = (int) Math.min(
                Integer.MAX_VALUE,
                Math.max(SMALLEST_LIST_LIMIT, Runtime.getRuntime().maxMemory() / HEAP_PARTS));
        answer = new AnswerReader(limit);
        objects = new ObjectStream("a list", limit);
        connection = kit.network().dial(service, opened -> this);
        kit.wheel().at(kit.clock().nowMs() + CONNECT_TIMEOUT_MS, this::checkConnected);
    }

    private void checkConnected() {
        if (!connected) {
            fail(Failure.UNREACHABLE, "no connection");
        }
    }

    /** Whether a list or changes have come. */
    boolean hasListed() {
        return listed;
    }

    @Override
    public void opened() {
        connected = true;
        String path = "/registry/instances?follow=1" + (since == WHOLE_LIST ? "" : "&since=" + since);
        String host = service.getHostString() + ':' + service.getPort();
        connection.write(Answers.ascii("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n"));
    }

    @Override
    public void bytes(ByteBuffer in) {
        try {
            boolean complete = answer.feed(in);
            if (!answer.hasHead()) {
                return;
            }
            if (answer.status() != 200) {
                fail(Failure.REFUSED, "status " + answer.status());
                return;
            }
            body(answer.take());
            if (complete) {
                fail(Failure.ENDED, "ended");
            }
        } catch (BadMessage | BadInput e) {
            kit.counters().count("list.malformed");
            fail(Failure.MALFORMED, "malformed: " + e.getMessage());
        }
    }

    private void body(byte[] fresh) {
        if (fresh.length == 0) {
            return;
        }
        heardAt = kit.clock().nowMs();
        if (!answered) {
            answered = true;
            watchForSilence();
            if (since != WHOLE_LIST) {
                kit.wheel().at(heardAt + NO_CHANGES_MS, this::checkUnchanged);
            }
            listener.answered(this);
        }
        objects.feed(fresh, this::object);
    }

    private void checkUnchanged() {
        if (!over && !listed && !objects.midway()) {
            listener.unchanged(this);
        }
    }

    private void object(Json.Fields fields, byte[] text) {
        if (over) {
            return;
        }
        NodeListReader.Listing listing = reader.read(fields);
        if (!listing.whole() && !listed && listing.seq() < since) {
            fail(Failure.VERSION_WENT_BACK, "changes numbered " + listing.seq() + " after version " + since);
            return;
        }
        listed = true;
        listener.listed(this, listing, new String(text, StandardCharsets.UTF_8).strip());
    }

    private void watchForSilence() {
        silenceTimer = kit.wheel().at(heardAt + SILENCE_MS, () -> {
            if (kit.clock().nowMs() - heardAt >= SILENCE_MS) {
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
        if (!over) {
            close();
            listener.failed(this, failure, detail);
        }
    }

    /** Ends the call; its listener hears nothing more. */
    void close() {
        over = true;
        if (silenceTimer != null) {
            silenceTimer.cancel();
        }
        connection.cut();
    }
}
