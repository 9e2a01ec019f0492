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
 * Keeps a watch open on discovery's node list. A new process requests the list before it serves, since the one saved in its file
 * may be old. A silent watch stays in use until a newer call is answered, and one on a former discovery service until the new
 * service has sent its list. The core is told of a failed call and decides when to ask again.
 *
 * <p>The protocol sets the time limit: a scheduler must know a change 6 s after discovery knew it and could be reached.
 */
public final class NodeListWatch implements NodeList, DiscoveryCall.Listener {
    /** Receives each list object that discovery sends to this process. */
    public interface Listener {
        /** A list object has arrived: its text, its version, and whether it is the whole list. */
        void lineReceived(String line, long seq, boolean whole);
    }

    /**
     * A new process waits this long for discovery before it uses the list saved in its file. The platform requires restarted
     * processes to be ready within 6 s, and the start itself takes up to a second.
     */
    private static final double MAX_FIRST_LIST_WAIT_MS = 5_000;
    /**
     * A call that is unanswered for this long may have lost its connection or may wait in the service's queue. A second call
     * is opened and the first answer is used; closing the first call would lose its place in the queue.
     */
    private static final double SECOND_CALL_AFTER_MS = 3_000;
    /**
     * Discovery answers calls one by one, some tens a second, and calls that have waited too long waste its work. Calls that
     * many schedulers would make at once are spread over this time for each other scheduler, ...
     */
    private static final double SPREAD_MS_PER_SCHEDULER = 30;
    /** ... but over at most this fraction of the time within which the settings require each scheduler to ask. */
    private static final double MAX_SPREAD_FRACTION = 1.0 / 3;

    private final LoopContext context;
    private final NodeListReader reader;
    private final WorkerLinks workerLinks;
    private final DispatchCore core;
    private final SplittableRandom random;
    private InetSocketAddress service;
    private long version = DiscoveryCall.WHOLE_LIST;
    /** The list saved in the file while it is not used yet, or null. */
    private NodeListReader.NodeListUpdate withheld;
    /** Whether any list has been passed to the core. */
    private boolean published;
    /** The call whose answer delivers changes, or null. */
    private DiscoveryCall activeWatch;
    /** Whether {@link #activeWatch} is silent and to be replaced. */
    private boolean activeWatchSilent;
    /** The watch on a former service, which is used until the new service has sent its list; or null. */
    private DiscoveryCall formerWatch;
    /** The newest call without an answer, or null. */
    private DiscoveryCall pendingCall;
    /** An older call without an answer, or null. */
    private DiscoveryCall overdueCall;
    /** The failure of the last call until one is answered, so that an outage is logged once. */
    private String lastFailure;
    /** In a fleet, receives each line that discovery sends; else null. */
    private Listener fleetListener;

    /** Whether this process is the one that watches discovery. */
    private boolean asksDiscovery = true;

    NodeListWatch(
            LoopContext context,
            InetSocketAddress discovery,
            long seed,
            NodeListReader reader,
            WorkerLinks workerLinks,
            DispatchCore core) {
        this.random = new SplittableRandom(seed);
        this.context = context;
        this.service = discovery;
        this.reader = reader;
        this.workerLinks = workerLinks;
        this.core = core;
    }

    /**
     * Starts with the saved list, or null. That list is withheld until discovery has answered, since its nodes may have left
     * long ago and the protocol's time limit also holds for a new process. It is used without an answer after
     * {@link #MAX_FIRST_LIST_WAIT_MS}, as soon as discovery proves unreachable, or if it cannot be old.
     */
    void start(NodeListReader.NodeListUpdate saved) {
        if (service != null && saved != null && !published) {
            withheld = saved;
            saved.lines().forEach(line -> core.rememberNode(line.entry().id()));
            if (core.settings().listOnRequest()) {
                version = saved.version();
            }
            context.wheel()
                    .schedule(
                            context.clock().nowMs() + MAX_FIRST_LIST_WAIT_MS, () -> serveSavedList("no list in time"));
        }
        watchAfterRandomDelay();
    }

    /**
     * Handles a job submitted before this process has reported that it is ready. The platform's front notices within some
     * seconds that a scheduler is gone and then waits until it is ready, so this process was away for less and its saved list
     * is recent enough. It is not if lists are pushed: then a change counts from the first moment of a process.
     */
    void jobSubmittedBeforeReady() {
        if (core.settings().listOnRequest()) {
            serveSavedList("clients have not noticed the restart");
        }
    }

    /** Opens a call after a random delay, so that schedulers that react to the same event do not all call at once. */
    private void watchAfterRandomDelay() {
        double spreadMs = maxRandomDelayMs();
        if (spreadMs > 0) {
            context.wheel().schedule(context.clock().nowMs() + random.nextDouble() * spreadMs, this::watch);
        } else {
            watch();
        }
    }

    private double maxRandomDelayMs() {
        if (!core.settings().listOnRequest()) {
            return 0; // each scheduler has its own agent
        }
        double otherSchedulers = core.settings().balancers() - 1;
        return Math.min(
                otherSchedulers * SPREAD_MS_PER_SCHEDULER,
                core.settings().rules().mustAskInMs() * MAX_SPREAD_FRACTION);
    }

    private void serveSavedList(String reason) {
        if (withheld != null) {
            context.counters().count("list.none_pushed");
            context.log().accept("node list: using the saved list, " + reason);
            publish(ListMode.SAVED, withheld);
        }
    }

    /** Returns whether no saved list is withheld, so that jobs are dispatched by the best list available. */
    boolean mayServe() {
        return withheld == null;
    }

    /** Opens a call unless one is open, no service is known, or another scheduler of the fleet watches discovery. */
    @Override
    public void watch() {
        boolean watching = activeWatch != null && !activeWatchSilent;
        if (asksDiscovery && service != null && pendingCall == null && !watching) {
            call();
        }
    }

    private void call() {
        context.counters().count("list.asked");
        DiscoveryCall opened = new DiscoveryCall(context, reader, service, version, this);
        pendingCall = opened;
        context.wheel().schedule(context.clock().nowMs() + SECOND_CALL_AFTER_MS, () -> {
            if (opened == pendingCall) {
                closeOverdue();
                overdueCall = opened;
                call();
            }
        });
    }

    /** Joins a fleet, which decides which scheduler watches discovery and receives each line. */
    void joinFleet(Listener listener) {
        fleetListener = listener;
        asksDiscovery = false;
    }

    /**
     * Sets whether this process is to watch discovery. If not, it closes its watch and keeps its list; {@code wholeList} requests
     * the whole list again.
     */
    void setAsking(boolean enabled, boolean wholeList) {
        asksDiscovery = enabled;
        if (!enabled || wholeList) {
            closeWatch();
            closeUnanswered();
        }
        if (wholeList) {
            version = DiscoveryCall.WHOLE_LIST;
        }
        watch();
    }

    /** Returns whether a watch is answered and not silent. */
    boolean isListening() {
        return activeWatch != null && !activeWatchSilent;
    }

    /** Applies a list line that another scheduler of the fleet has received from discovery. */
    void applyFleetLine(String line) {
        try {
            NodeListReader.NodeListUpdate update =
                    reader.read(Json.object("a list line", line.getBytes(StandardCharsets.UTF_8)));
            version = update.version();
            context.counters().count("list.followed");
            publish(update);
        } catch (BadInput e) {
            context.counters().count("list.malformed");
            context.log().accept("node list line from the fleet: " + e.getMessage());
        }
    }

    /** Switches to another service. It numbers its versions independently, so the whole list is requested. */
    void moveTo(InetSocketAddress newService) {
        if (newService.equals(service)) {
            return;
        }
        context.counters().count("list.moved");
        closeUnanswered();
        if (activeWatch != null && activeWatch.hasListed()) {
            closeFormer();
            formerWatch = activeWatch;
            activeWatch = null;
        }
        closeWatch();
        service = newService;
        version = DiscoveryCall.WHOLE_LIST;
        watch();
    }

    private void publish(NodeListReader.NodeListUpdate update) {
        if (update.complete()) {
            publish(ListMode.FULL, update);
        } else if (withheld != null) {
            publish(ListMode.FULL, applyChanges(withheld, update));
        } else {
            publish(ListMode.INCREMENTAL, update);
        }
    }

    /** Returns a whole list with changes applied to it. */
    private static NodeListReader.NodeListUpdate applyChanges(
            NodeListReader.NodeListUpdate whole, NodeListReader.NodeListUpdate changes) {
        Map<String, NodeListReader.NodeLine> byNode = new LinkedHashMap<>();
        whole.lines().forEach(line -> byNode.put(line.entry().id(), line));
        changes.lines().forEach(line -> byNode.put(line.entry().id(), line));
        return new NodeListReader.NodeListUpdate(changes.version(), true, List.copyOf(byNode.values()));
    }

    private void publish(ListMode mode, NodeListReader.NodeListUpdate update) {
        withheld = null;
        published = true;
        List<ListedNode> listedNodes = new ArrayList<>();
        for (NodeListReader.NodeLine line : update.lines()) {
            NodeLink link = line.address() == null ? AbsentLink.LINK : workerLinks.find(line.address());
            if (mode == ListMode.INCREMENTAL || line.entry().phase() != Phase.DELETED) {
                listedNodes.add(new ListedNode(line.entry(), link));
            }
        }
        core.applyList(this, mode, listedNodes);
    }

    // ---- events of calls ----

    @Override
    public void answered(DiscoveryCall call) {
        lastFailure = null;
        forgetCall(call);
        closeUnanswered();
        closeWatch();
        activeWatch = call;
    }

    @Override
    public void unchanged(DiscoveryCall call) {
        if (withheld != null) {
            publish(ListMode.FULL, withheld);
        }
    }

    @Override
    public void listed(DiscoveryCall call, NodeListReader.NodeListUpdate update, String text) {
        if (call == activeWatch) {
            version = update.version();
            closeFormer();
        }
        publish(update);
        if (fleetListener != null && call == activeWatch) {
            fleetListener.lineReceived(text, update.version(), update.complete());
        }
    }

    @Override
    public void silent(DiscoveryCall call) {
        if (call == formerWatch) {
            closeFormer();
            return;
        }
        activeWatchSilent = true;
        context.counters().count("list.silent");
        context.log().accept("node list watch: silent, reopening it");
        watchAfterRandomDelay();
    }

    @Override
    public void failed(DiscoveryCall call, DiscoveryCall.Failure failure, String detail) {
        if (!detail.equals(lastFailure)) {
            context.log().accept("node list watch: " + detail);
        }
        lastFailure = detail;
        boolean askAgain = call == pendingCall || call == activeWatch && !activeWatchSilent;
        forgetCall(call);
        if (failure == DiscoveryCall.Failure.VERSION_WENT_BACK) {
            version = DiscoveryCall.WHOLE_LIST;
        }
        // If lists are pushed, a change that the agent knows counts from the start, even if the agent is unreachable.
        if (failure == DiscoveryCall.Failure.UNREACHABLE && core.settings().listOnRequest()) {
            serveSavedList("discovery cannot be reached");
        }
        if (askAgain) {
            core.applyList(this, ListMode.FAILED, List.of());
        }
    }

    private void forgetCall(DiscoveryCall call) {
        if (call == pendingCall) {
            pendingCall = null;
        }
        if (call == overdueCall) {
            overdueCall = null;
        }
        if (call == activeWatch) {
            activeWatch = null;
            activeWatchSilent = false;
        }
        if (call == formerWatch) {
            formerWatch = null;
        }
    }

    private void closeWatch() {
        if (activeWatch != null) {
            activeWatch.close();
        }
        activeWatch = null;
        activeWatchSilent = false;
    }

    private void closeFormer() {
        if (formerWatch != null) {
            formerWatch.close();
        }
        formerWatch = null;
    }

    private void closeOverdue() {
        if (overdueCall != null) {
            overdueCall.close();
        }
        overdueCall = null;
    }

    private void closeUnanswered() {
        closeOverdue();
        if (pendingCall != null) {
            pendingCall.close();
        }
        pendingCall = null;
    }
}
