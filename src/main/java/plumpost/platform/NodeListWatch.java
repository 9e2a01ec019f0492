package plumpost.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import plumpost.config.Json;
import plumpost.config.Json.BadInput;
import plumpost.config.NodeListReader;
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
import plumpost.net.Wire;
import plumpost.net.WireUser;

/**
 * The watch on discovery's node list. When it ends or falls silent the core hears of a failed call and asks again.
 * When discovery moves, the old watch goes on telling until the new service has told its list.
 */
public final class NodeListWatch implements NodeList {
    /** Hears what discovery tells this process, line by line. */
    public interface Listener {
        /** A line of the list. */
        void heard(String line, long seq, boolean whole);
    }

    private static final int LINE_LIMIT = 1024 * 1024;
    /** An empty line comes every 2 s: without any for this long the watch is dead. */
    private static final double SILENCE_MS = 3_500;
    /** A service that has not taken the connection by now will not: it answers calls in turn, but accepts at once. */
    private static final double DIAL_MS = 1_000;

    private final Kit kit;
    private final NodeListReader reader;
    private final RouteNodes nodes;
    private final DispatchRoom room;
    private InetSocketAddress discovery;
    private long seq = -1;
    private Call call;
    private Call former;
    /** In a fleet: who hears of each line, and whether this process is the one to ask. */
    private Listener fleet;
    private boolean asks = true;

    NodeListWatch(Kit kit, InetSocketAddress discovery, NodeListReader reader, RouteNodes nodes, DispatchRoom room) {
        this.kit = kit;
        this.discovery = discovery;
        this.reader = reader;
        this.nodes = nodes;
        this.room = room;
    }

    /** Tells the core of the list as last had. */
    void saved(NodeListReader.Listing listing) {
        seq = listing.seq();
        tell(ListMode.SAVED, listing);
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
        List<ListedNode> lines = new ArrayList<>();
        for (NodeListReader.Line l : listing.lines()) {
            NodeLink link = l.dial() == null ? Gone.LINK : nodes.at(l.dial());
            if (mode == ListMode.INCREMENTAL || l.entry().phase() != Phase.DELETED) {
                lines.add(new ListedNode(l.entry(), link));
            }
        }
        room.listed(this, mode, lines);
    }

    private final class Call implements WireUser {
        private final AnswerReader answer = new AnswerReader(LINE_LIMIT);
        private final Wire wire;
        private double heardAt = kit.clock().nowMs();
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
            kit.wheel().at(heardAt + SILENCE_MS, () -> {
                if (!over && kit.clock().nowMs() - heardAt >= SILENCE_MS) {
                    fail("silent");
                } else if (!over) {
                    watchSilence();
                }
            });
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
                for (byte[] l = answer.hasHead() ? answer.line() : null; l != null && !over; l = answer.line()) {
                    heardAt = kit.clock().nowMs();
                    answered = true;
                    line(l);
                }
                if (whole && !over) {
                    fail("ended");
                }
            } catch (BadMessage | BadInput e) {
                kit.counters().count("list.malformed");
                fail("malformed: " + e.getMessage());
            }
        }

        private void line(byte[] line) {
            if (line.length == 0 || line.length == 1 && line[0] == '\r') {
                return;
            }
            NodeListReader.Listing listing = reader.read(Json.object("a list line", line));
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
                fleet.heard(new String(line, java.nio.charset.StandardCharsets.UTF_8), listing.seq(), listing.whole());
            }
        }

        @Override
        public void ended() {
            fail("connection ended");
        }

        private void fail(String why) {
            if (!over) {
                drop();
                kit.log().accept("node list watch: " + why);
                if (this == call) {
                    room.listed(NodeListWatch.this, ListMode.FAILED, List.of());
                }
            }
        }

        private void drop() {
            over = true;
            wire.cut();
        }
    }
}
