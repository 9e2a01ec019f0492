package plumpost.platform;

import java.io.IOException;
import java.util.function.DoubleSupplier;
import plumpost.config.Json.BadInput;
import plumpost.config.NodeConfig;
import plumpost.config.NodeListReader;
import plumpost.dispatch.DispatchCore;
import plumpost.front.Front;
import plumpost.front.Listeners;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;

/** The platform's protocol in a scheduler: the HTTP front, the links to route nodes and the watch on the node list. */
public final class Platform implements Front {
    private static final long MAX_UNREAD_BYTES = 2 << 20;

    private final HttpFront front;
    private final NodeListWatch watch;
    private final NodeListReader reader;
    private final NodeConfig config;
    private final DispatchCore core;
    private final LoopContext context;

    /**
     * Connects the platform's protocol to a core.
     *
     * @param lagMs returns how long bytes may have waited unread
     * @param clientBytes the memory for requests that are being received and for answers that clients have not read
     */
    public Platform(NodeConfig config, DispatchCore core, LoopContext context, DoubleSupplier lagMs, long clientBytes) {
        this.config = config;
        this.core = core;
        this.context = context;
        int nodeConnections = config.sockets() / 3;
        reader = new NodeListReader(config.rawSettings(), new WorkerStartTimes(context.unixTime()), reason -> {
            context.counters().count("list.malformed_line");
            context.log().accept("malformed node list line: " + reason);
        });
        WorkerLinks workerLinks = new WorkerLinks(context, core::settings, nodeConnections);
        watch = new NodeListWatch(context, config.discovery(), config.seed(), reader, workerLinks, core);
        front = new HttpFront(core, context, lagMs::getAsDouble, watch, clientBytes);
    }

    /** Returns the maximum of open client connections. */
    public static int connections(NodeConfig config) {
        return config.sockets() * 9 / 20;
    }

    /** Closes the least important client connection; returns false if none may be closed. */
    public boolean shed() {
        return front.shed();
    }

    @Override
    public String open(Listeners listeners) throws IOException {
        String address = config.listen() == null
                ? ""
                : "http "
                        + listeners.listen(
                                config.listen(),
                                this::accept,
                                connections(config),
                                false,
                                MAX_UNREAD_BYTES,
                                this::shed);
        start();
        return address;
    }

    /** Applies a new address of discovery, and new deadlines to a shutdown that has begun; jobs, connections and the state of nodes are kept. */
    @Override
    public void reload(NodeConfig newConfig) {
        front.settingsChanged();
        if (newConfig.discovery() == null) {
            context.log().accept("reloaded, the file names no discovery: the old address stays");
        } else {
            context.log().accept("reloaded, discovery " + newConfig.discovery());
            watch.moveTo(newConfig.discovery());
        }
    }

    /** Requests the node list from discovery; the saved list is used only if discovery sends none in time. */
    public void start() {
        core.add(watch);
        watch.start(savedList());
    }

    /** Returns the node list saved in the file, or null if there is none that can be read; discovery sends the current one. */
    private NodeListReader.NodeListUpdate savedList() {
        if (!config.lastNodeList().has("seq")) {
            return null;
        }
        try {
            return reader.read(config.lastNodeList());
        } catch (BadInput e) {
            context.counters().count("list.malformed");
            context.log().accept("the saved node list is ignored: " + e.getMessage());
            return null;
        }
    }

    /** Applies one line of the node list that another scheduler of the fleet has received from discovery. */
    public void applyFleetLine(String line) {
        watch.applyFleetLine(line);
    }

    /**
     * Sets whether this scheduler itself is to watch discovery, in a fleet that has an owner for that; {@code wholeList} requests
     * the whole list again.
     */
    public void setAsking(boolean enabled, boolean wholeList) {
        watch.setAsking(enabled, wholeList);
    }

    /** Returns whether this scheduler has a watch on discovery that is answered and not silent. */
    public boolean isListening() {
        return watch.isListening();
    }

    /** Lets the fleet decide from now on which scheduler watches discovery, and passes it each line received here. */
    public void joinFleet(NodeListWatch.Listener fleet) {
        watch.joinFleet(fleet);
    }

    /** Creates the handler of a client's connection. */
    public ConnectionHandler accept(Connection connection) {
        return front.accept(connection);
    }

    /** Returns whether no saved node list is being withheld until discovery answers. */
    public boolean mayServe() {
        return watch.mayServe();
    }

    /** Lets the front report that it is ready from now on. */
    @Override
    public void ready() {
        front.ready();
    }

    /** Starts the shutdown: reports not ready, then closes idle connections and the others after their answer. */
    @Override
    public void stop(double signalHandledAtMs, double newConnectionsMs) {
        front.stop(signalHandledAtMs);
    }

    @Override
    public boolean isIdle() {
        return front.quiet();
    }
}
