package plumpost.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import plumpost.config.Json;
import plumpost.config.Json.BadInput;
import plumpost.config.NodeListReader;
import plumpost.config.ObjectStream;
import plumpost.decision.Dispatcher.ListMode;
import plumpost.decision.Dispatcher.Phase;
import plumpost.dispatch.DispatchRoom;
import plumpost.dispatch.ListedNode;
import plumpost.dispatch.NodeLink;
import plumpost.dispatch.NodeList;
import plumpost.http.AnswerReader;
import plumpost.http.Answers;
import plumpost.http.BadMessage;
import plumpost.net.Kit;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.time.TimerWheel;

/**
 * The watch on discovery's node list. When it ends or falls silent the core hears of a failed call and asks again.
 * When discovery moves, the old watch goes on telling until the new service has told its list.
 */
public final class NodeListWatch implements NodeList {
    /** Hears what discovery tells this process, object by object. */
    public interface Listener {
        /** An object of the list. */
        void heard(String line, long seq, boolean whole);
    }

    private static final int LIST_LIMIT = 1024 * 1024;
    /**
     * An empty line comes every 2 s: without a byte for this long the watch is dead. What it misses counts as told 6 s
     * after it fell silent: until then it is opened anew, after a spread, and a service that takes calls in turn answers.
     */
    private static final double SILENCE_MS = 2_500;
    /** The same before an answer has begun: the service answers calls in turn. */
    private static final double ANSWER_MS = 3_500;
    /** All watches of a fleet may fall silent at once: their new calls are spread over this. */
    private static final double SPREAD_MS = 1_000;
    /** So long a new process waits for the list that is pushed to it, before it serves by the one it had. */
    private static final double FIRST_MS = 5_000;
    /** A service that has not taken the connection by now will not: it answers calls in turn, but accepts at once. */
    private static final double DIAL_MS = 1_000;

    private final Kit kit;
    private final NodeListReader reader;
    private final RouteNodes nodes;
    private final DispatchRoom room;
    private InetSocketAddress discovery;
    private final SplittableRandom random;
    private long seq = -1;
    /** The list as last had is kept back: what is pushed may know better. */
    private boolean waits;
    private Call call;
    private Call former;
    /** Why the last call failed, until one is answered: a service that is down is asked many times, and told of once. */
    private String failure;
    /** In a fleet: who hears of each line, and whether this process is the one to ask. */
    private Listener fleet;
    private boolean asks = true;

    NodeListWatch(Kit kit, InetSocketAddress discovery, long seed, NodeListReader reader, RouteNodes nodes,
                  DispatchRoom room) {
        this.random = new SplittableRandom(seed);
        this.kit = kit;
        this.discovery = discovery;
        this.reader = reader;
        this.nodes = nodes;
        this.room = room;
    }

    /**
     * Begins with the list as last had, or null. Where lists are asked for, that is told and the module asks in its
     * time; where they are pushed, a change counts as told from a process's first moment, so the list of now is heard
     * first, and the old one serves only where none comes.
     */
    void begin(NodeListReader.Listing saved) {
        if (discovery == null || saved == null) {
            watch();
        } else if (room.settings().listOnRequest()) {
            seq = saved.seq();
            tell(ListMode.SAVED, saved);
        } else {
            waits = true;
            saved.lines().forEach(l -> room.named(l.entry().id()));
            watch();
            kit.wheel().at(kit.clock().nowMs() + FIRST_MS, () -> {
                if (waits) {
                    kit.counters().count("list.none_pushed");
                    tell(ListMode.SAVED, saved);
                }
            });
        }
    }

    /** Whether there is a list to serve by, as far as one is to be had. */
    boolean primed() {
        return !waits;
    }

    /** Asks for the list, unless a call for it is under way or no service is known. */
    @Override
    public void watch() {
        if (asks && discovery != null && (call == null || call.over)) {
            kit.counters().count("list.asked");
            call = new Call();
        }
    }

    /** From now on the fleet says who asks, and hears of each line; until it has spoken nobody is asked. */
    void in(Listener whole) {
        fleet = whole;
        asks = false;
    }

    /** Whether this process is to ask; one that is not any more lets go of its watch, and keeps its list. */
    void ask(boolean itself, boolean whole) {
        asks = itself;
        if (call != null && (!itself || whole)) {
            call.drop();
            call = null;
        }
        seq = whole ? -1 : seq;
        watch();
    }

    boolean hears() {
        return call != null && !call.over && call.answered;
    }

    /** A line that another scheduler has heard from discovery. */
    void told(String line) {
        try {
            NodeListReader.Listing listing = reader.read(Json.object("a list line", line.getBytes(
                java.nio.charset.StandardCharsets.UTF_8)));
            seq = listing.seq();
            kit.counters().count("list.followed");
            tell(listing.whole() ? ListMode.FULL : ListMode.INCREMENTAL, listing);
        } catch (BadInput e) {
            kit.counters().count("list.malformed");
            kit.log().accept("node list, told by the fleet: " + e.getMessage());
        }
    }

    /** Watches another service from now on: its versions are its own, so the whole list is asked for. */
    void move(InetSocketAddress to) {
        if (to.equals(discovery)) {
            return;
        }
        kit.counters().count("list.moved");
        if (call != null && call.told) {
            if (former != null) {
                former.drop();
            }
            former = call;
        } else if (call != null) {
            call.drop();
        }
        discovery = to;
        seq = -1;
        call = null;
        watch();
    }

    private void tell(ListMode mode, NodeListReader.Listing listing) {
        waits = false;
        List<ListedNode> lines = new ArrayList<>();
        for (NodeListReader.Line l : listing.lines()) {
            NodeLink link = l.dial() == null ? Gone.LINK : nodes.at(l.dial());
            if (mode == ListMode.INCREMENTAL || l.entry().phase() != Phase.DELETED) {
                lines.add(new ListedNode(l.entry(), link));
            }
        }
        room.listed(this, mode, lines);
    }

    private final class Call implements ConnectionHandler {
        private final AnswerReader answer = new AnswerReader(LIST_LIMIT);
        private final ObjectStream objects = new ObjectStream("a list", LIST_LIMIT);
        private final Connection wire;
        private double heardAt = kit.clock().nowMs();
        private TimerWheel.Timer silence;
        private boolean up;
        private boolean told;
        private boolean answered;
        private boolean over;

        Call() {
            wire = kit.network().dial(discovery, w -> this);
            kit.wheel().at(heardAt + DIAL_MS, () -> {
                if (!up) {
                    fail("no connection");
                }
            });
            watchSilence();
        }

        private void watchSilence() {
            double most = answered ? SILENCE_MS : ANSWER_MS;
            silence = kit.wheel().at(heardAt + most, () -> {
                if (kit.clock().nowMs() - heardAt >= most) {
                    silent();
                } else {
                    watchSilence();
                }
            });
        }

        /** A watch that told and fell silent is opened anew by itself: the module's waits for a failed call are too long. */
        private void silent() {
            if (!answered || this != call) {
                fail("silent");
                return;
            }
            drop();
            kit.counters().count("list.silent");
            kit.log().accept("node list watch: silent, opened anew");
            kit.wheel().at(kit.clock().nowMs() + (room.settings().listOnRequest() ? random.nextDouble() * SPREAD_MS : 0),
                NodeListWatch.this::watch);
        }

        @Override
        public void opened() {
            up = true;
            wire.write(Answers.ascii("GET /registry/instances?follow=1" + (seq < 0 ? "" : "&since=" + seq)
                + " HTTP/1.1\r\nHost: " + discovery.getHostString() + ':' + discovery.getPort() + "\r\n\r\n"));
        }

        @Override
        public void bytes(ByteBuffer in) {
            try {
                boolean whole = answer.feed(in);
                if (answer.hasHead() && answer.status() != 200) {
                    fail("status " + answer.status());
                    return;
                }
                byte[] fresh = answer.hasHead() ? answer.take() : new byte[0];
                if (fresh.length > 0) {
                    heardAt = kit.clock().nowMs();
                    if (!answered) {
                        answered = true;
                        failure = null;
                        silence.cancel(); // from here on by the shorter time
                        watchSilence();
                    }
                    objects.feed(fresh, this::object);
                }
                if (whole && !over) {
                    fail("ended");
                }
            } catch (BadMessage | BadInput e) {
                kit.counters().count("list.malformed");
                fail("malformed: " + e.getMessage());
            }
        }

        private void object(Json.Fields fields, byte[] text) {
            if (over) {
                return;
            }
            NodeListReader.Listing listing = reader.read(fields);
            told = true;
            if (this == call) {
                seq = listing.seq();
                if (former != null) {
                    former.drop();
                    former = null;
                }
            }
            tell(listing.whole() ? ListMode.FULL : ListMode.INCREMENTAL, listing);
            if (fleet != null && this == call) {
                fleet.heard(new String(text, java.nio.charset.StandardCharsets.UTF_8).strip(), listing.seq(), listing.whole());
            }
        }

        @Override
        public void ended() {
            fail("connection ended");
        }

        private void fail(String why) {
            if (!over) {
                drop();
                if (!why.equals(failure)) {
                    kit.log().accept("node list watch: " + why);
                }
                failure = why;
                if (this == call) {
                    room.listed(NodeListWatch.this, ListMode.FAILED, List.of());
                }
            }
        }

        private void drop() {
            over = true;
            silence.cancel();
            wire.cut();
        }
    }
}
