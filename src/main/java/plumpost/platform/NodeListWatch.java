package plumpost.platform;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import plumpost.config.Json;
import plumpost.config.Json.BadInput;
import plumpost.config.NodeListReader;
import plumpost.decision.Dispatcher.ListMode;
import plumpost.decision.Dispatcher.Phase;
import plumpost.dispatch.DispatchCore;
import plumpost.dispatch.ListedNode;
import plumpost.dispatch.NodeLink;
import plumpost.dispatch.NodeList;
import plumpost.net.LoopContext;

/**
 * Keeps a watch open on discovery's node list. A new process asks before it serves, since the list in its file may be
 * old. A watch that falls silent, or that belongs to a former discovery service, goes on telling until a newer call is
 * answered. When a call fails the core hears of it and decides when to ask again.
 *
 * <p>The protocol bounds all of this: a change counts as told 6 s after discovery had it and could be reached.
 */
public final class NodeListWatch implements NodeList, DiscoveryCall.Listener {
    /** Hears what discovery tells this process, object by object. */
    public interface Listener {
        /** An object of the list. */
        void heard(String line, long seq, boolean whole);
    }

    /**
     * A new process waits this long for discovery before it serves by the list in its file. The platform wants restarted
     * processes ready within 6 s at the least, and the start itself takes up to a second.
     */
    private static final double FIRST_LIST_MS = 5_000;
    /**
     * A call that is not answered by now may have lost its connection, or may stand in the service's queue: a second one
     * is opened beside it, and the first answer wins. Giving the first up would lose its place in the queue.
     */
    private static final double UNANSWERED_MS = 3_000;
    /**
     * Discovery answers calls in turn and some tens of them a second, and calls that have waited too long cost it work
     * for nothing. Those that many schedulers would make at once are spread by so much for each scheduler, ...
     */
    private static final double SPREAD_MS_PER_SCHEDULER = 30;
    /** ... but over no more than this part of the time in which the settings want each scheduler to ask. */
    private static final double MOST_SPREAD_PART = 1.0 / 3;

    private final LoopContext kit;
    private final NodeListReader reader;
    private final WorkerLinks nodes;
    private final DispatchCore room;
    private final SplittableRandom random;
    private InetSocketAddress service;
    private long version = DiscoveryCall.WHOLE_LIST;
    /** The list of the file while it is withheld, or null. */
    private NodeListReader.Listing withheld;
    /** Whether the core has been told any list. */
    private boolean told;
    /** The call whose answer tells of changes, or null. */
    private DiscoveryCall watch;
    /** Whether {@link #watch} has fallen silent and is to be replaced. */
    private boolean watchIsSilent;
    /** The watch on a former service, which tells on until the new one has told its list; or null. */
    private DiscoveryCall former;
    /** The newest call without an answer, or null. */
    private DiscoveryCall pending;
    /** An older call without an answer, or null. */
    private DiscoveryCall overdue;
    /** Why the last call failed, until one is answered: an outage is logged once. */
    private String lastFailure;
    /** In a fleet: who hears of each line, and whether this process is the one to ask. */
    private Listener fleet;

    private boolean asks = true;

    NodeListWatch(
            LoopContext kit,
            InetSocketAddress discovery,
            long seed,
            NodeListReader reader,
            WorkerLinks nodes,
            DispatchCore room) {
        this.random = new SplittableRandom(seed);
        this.kit = kit;
        this.service = discovery;
        this.reader = reader;
        this.nodes = nodes;
        this.room = room;
    }

    /**
     * Begins with the list as last had, or null. That list is withheld until discovery has answered: nodes that it names
     * may have left long ago, and a change counts as told however new the process is. It serves alone after
     * {@link #FIRST_LIST_MS}, as soon as discovery turns out to be unreachable, or where it cannot be old.
     */
    void begin(NodeListReader.Listing saved) {
        if (service != null && saved != null && !told) {
            withheld = saved;
            saved.lines().forEach(line -> room.named(line.entry().id()));
            if (room.settings().listOnRequest()) {
                version = saved.seq();
            }
            kit.wheel().at(kit.clock().nowMs() + FIRST_LIST_MS, () -> serveByFile("no list in time"));
        }
        watchWithinSpread();
    }

    /**
     * Clients come though this process has not said that it is ready. The platform's front notices within some seconds
     * that a scheduler is gone, and then waits until it is ready: this one was away for less, and its list is that young.
     * Where lists are pushed that is too old all the same: there a change counts from a process's first moment.
     */
    void clientsStillCome() {
        if (room.settings().listOnRequest()) {
            serveByFile("clients have not noticed the restart");
        }
    }

    /** Opens a call at a random moment, so that schedulers for which the same thing happened do not all call at once. */
    private void watchWithinSpread() {
        double spreadMs = spreadMs();
        if (spreadMs > 0) {
            kit.wheel().at(kit.clock().nowMs() + random.nextDouble() * spreadMs, this::watch);
        } else {
            watch();
        }
    }

    private double spreadMs() {
        if (!room.settings().listOnRequest()) {
            return 0; // each scheduler has an agent of its own
        }
        double others = room.settings().balancers() - 1;
        return Math.min(
                others * SPREAD_MS_PER_SCHEDULER, room.settings().rules().mustAskInMs() * MOST_SPREAD_PART);
    }

    private void serveByFile(String why) {
        if (withheld != null) {
            kit.counters().count("list.none_pushed");
            kit.log().accept("node list: serving by the file, " + why);
            tell(ListMode.SAVED, withheld);
        }
    }

    /** Whether there is a list to serve by, as far as one is to be had. */
    boolean primed() {
        return withheld == null;
    }

    /** Asks for the list, unless a call for it is under way or no service is known. */
    @Override
    public void watch() {
        boolean watching = watch != null && !watchIsSilent;
        if (asks && service != null && pending == null && !watching) {
            call();
        }
    }

    private void call() {
        kit.counters().count("list.asked");
        DiscoveryCall opened = new DiscoveryCall(kit, reader, service, version, this);
        pending = opened;
        kit.wheel().at(kit.clock().nowMs() + UNANSWERED_MS, () -> {
            if (opened == pending) {
                closeOverdue();
                overdue = opened;
                call();
            }
        });
    }

    /** Puts the node list under a fleet, which says who asks discovery and hears of each line. */
    void in(Listener whole) {
        fleet = whole;
        asks = false;
    }

    /** Whether this process is to ask; one that is not any more closes its watch, and keeps its list. */
    void ask(boolean itself, boolean whole) {
        asks = itself;
        if (!itself || whole) {
            closeWatch();
            closeUnanswered();
        }
        if (whole) {
            version = DiscoveryCall.WHOLE_LIST;
        }
        watch();
    }

    /** Whether a watch is open and tells of changes. */
    boolean hears() {
        return watch != null && !watchIsSilent;
    }

    /** A line that another scheduler has heard from discovery. */
    void told(String line) {
        try {
            NodeListReader.Listing listing =
                    reader.read(Json.object("a list line", line.getBytes(StandardCharsets.UTF_8)));
            version = listing.seq();
            kit.counters().count("list.followed");
            tell(listing);
        } catch (BadInput e) {
            kit.counters().count("list.malformed");
            kit.log().accept("node list, told by the fleet: " + e.getMessage());
        }
    }

    /** Watches another service from now on: its versions are its own, so the whole list is asked for. */
    void move(InetSocketAddress to) {
        if (to.equals(service)) {
            return;
        }
        kit.counters().count("list.moved");
        closeUnanswered();
        if (watch != null && watch.hasListed()) {
            closeFormer();
            former = watch;
            watch = null;
        }
        closeWatch();
        service = to;
        version = DiscoveryCall.WHOLE_LIST;
        watch();
    }

    private void tell(NodeListReader.Listing listing) {
        if (listing.whole()) {
            tell(ListMode.FULL, listing);
        } else if (withheld != null) {
            tell(ListMode.FULL, changed(withheld, listing));
        } else {
            tell(ListMode.INCREMENTAL, listing);
        }
    }

    /** A whole list with changes applied to it. */
    private static NodeListReader.Listing changed(NodeListReader.Listing whole, NodeListReader.Listing changes) {
        Map<String, NodeListReader.Line> byNode = new LinkedHashMap<>();
        whole.lines().forEach(line -> byNode.put(line.entry().id(), line));
        changes.lines().forEach(line -> byNode.put(line.entry().id(), line));
        return new NodeListReader.Listing(changes.seq(), true, List.copyOf(byNode.values()));
    }

    private void tell(ListMode mode, NodeListReader.Listing listing) {
        withheld = null;
        told = true;
        List<ListedNode> lines = new ArrayList<>();
        for (NodeListReader.Line line : listing.lines()) {
            NodeLink link = line.dial() == null ? AbsentLink.LINK : nodes.at(line.dial());
            if (mode == ListMode.INCREMENTAL || line.entry().phase() != Phase.DELETED) {
                lines.add(new ListedNode(line.entry(), link));
            }
        }
        room.listed(this, mode, lines);
    }

    // ---- what calls bring ----

    @Override
    public void answered(DiscoveryCall call) {
        lastFailure = null;
        forget(call);
        closeUnanswered();
        closeWatch();
        watch = call;
    }

    @Override
    public void unchanged(DiscoveryCall call) {
        if (withheld != null) {
            tell(ListMode.FULL, withheld);
        }
    }

    @Override
    public void listed(DiscoveryCall call, NodeListReader.Listing listing, String text) {
        if (call == watch) {
            version = listing.seq();
            closeFormer();
        }
        tell(listing);
        if (fleet != null && call == watch) {
            fleet.heard(text, listing.seq(), listing.whole());
        }
    }

    @Override
    public void silent(DiscoveryCall call) {
        if (call == former) {
            closeFormer();
            return;
        }
        watchIsSilent = true;
        kit.counters().count("list.silent");
        kit.log().accept("node list watch: silent, opened anew");
        watchWithinSpread();
    }

    @Override
    public void failed(DiscoveryCall call, DiscoveryCall.Failure failure, String detail) {
        if (!detail.equals(lastFailure)) {
            kit.log().accept("node list watch: " + detail);
        }
        lastFailure = detail;
        boolean asked = call == pending || call == watch && !watchIsSilent;
        forget(call);
        if (failure == DiscoveryCall.Failure.VERSION_WENT_BACK) {
            version = DiscoveryCall.WHOLE_LIST;
        }
        // Where lists are pushed, what the agent has counts from a process's first moment, reached or not.
        if (failure == DiscoveryCall.Failure.UNREACHABLE && room.settings().listOnRequest()) {
            serveByFile("discovery cannot be reached");
        }
        if (asked) {
            room.listed(this, ListMode.FAILED, List.of());
        }
    }

    private void forget(DiscoveryCall call) {
        if (call == pending) {
            pending = null;
        }
        if (call == overdue) {
            overdue = null;
        }
        if (call == watch) {
            watch = null;
            watchIsSilent = false;
        }
        if (call == former) {
            former = null;
        }
    }

    private void closeWatch() {
        if (watch != null) {
            watch.close();
        }
        watch = null;
        watchIsSilent = false;
    }

    private void closeFormer() {
        if (former != null) {
            former.close();
        }
        former = null;
    }

    private void closeOverdue() {
        if (overdue != null) {
            overdue.close();
        }
        overdue = null;
    }

    private void closeUnanswered() {
        closeOverdue();
        if (pending != null) {
            pending.close();
        }
        pending = null;
    }
}
