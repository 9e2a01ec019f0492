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

/** The platform's side of a scheduler: its front, its links to route nodes and its watch on the node list. */
public final class Platform implements Front {
    private static final long UNREAD = 2 << 20;

    private final HttpFront door;
    private final NodeListWatch watch;
    private final NodeListReader reader;
    private final NodeConfig config;
    private final DispatchCore room;
    private final LoopContext kit;

    /** Joins the platform's protocol to a core; {@code lag} tells how long bytes may have lain unread. */
    public Platform(NodeConfig config, DispatchCore room, LoopContext kit, DoubleSupplier lag) {
        this.config = config;
        this.room = room;
        this.kit = kit;
        int nodeConnections = config.sockets() / 3;
        reader = new NodeListReader(config.raw(), new WorkerStartTimes(kit.unixTime()), why -> {
            kit.counters().count("list.malformed_line");
            kit.log().accept("malformed node list line: " + why);
        });
        WorkerLinks nodes = new WorkerLinks(kit, room::settings, nodeConnections);
        watch = new NodeListWatch(kit, config.discovery(), config.seed(), reader, nodes, room);
        door = new HttpFront(room, kit, lag::getAsDouble, watch);
    }

    /** Connections that front desks may hold open together. */
    public static int connections(NodeConfig config) {
        return config.sockets() * 9 / 20;
    }

    /** Ends the front desk's connection that matters least, where there is such a one. */
    public boolean shed() {
        return door.shed();
    }

    @Override
    public String open(Listeners listeners) throws IOException {
        String where = config.listen() == null
                ? ""
                : "http "
                        + listeners.listen(
                                config.listen(), this::accept, connections(config), false, UNREAD, this::shed);
        begin();
        return where;
    }

    /** Takes over another address of discovery; jobs, connections and what is known of nodes stay. */
    @Override
    public void reload(NodeConfig now) {
        if (now.discovery() == null) {
            kit.log().accept("reloaded, the file names no discovery: the old one stays");
        } else {
            kit.log().accept("reloaded, discovery " + now.discovery());
            watch.move(now.discovery());
        }
    }

    /** Asks discovery for the list; the one as last had serves only where discovery tells none in time. */
    public void begin() {
        room.add(watch);
        watch.begin(lastList());
    }

    /** The list of the file, or null where there is none that can be read: discovery tells the true one. */
    private NodeListReader.Listing lastList() {
        if (!config.known().has("seq")) {
            return null;
        }
        try {
            return reader.read(config.known());
        } catch (BadInput e) {
            kit.counters().count("list.malformed");
            kit.log().accept("the file's node list is passed over: " + e.getMessage());
            return null;
        }
    }

    /** Discovery's word as another scheduler of the fleet has heard it: one line of the node list. */
    public void told(String line) {
        watch.told(line);
    }

    /** Whether discovery is to be asked by this scheduler itself, in a fleet that has an owner for that. */
    public void ask(boolean itself, boolean whole) {
        watch.ask(itself, whole);
    }

    /** Whether discovery, asked by this scheduler, has told its list and goes on. */
    public boolean hears() {
        return watch.hears();
    }

    /** From now on the fleet says who asks discovery, and hears what it tells this scheduler. */
    public void in(NodeListWatch.Listener fleet) {
        watch.in(fleet);
    }

    /** Takes a front desk's connection in. */
    public ConnectionHandler accept(Connection wire) {
        return door.accept(wire);
    }

    /** Whether there is a node list to serve by, where one is to be waited for. */
    public boolean listed() {
        return watch.primed();
    }

    /** From here on the front says that it is ready. */
    @Override
    public void ready() {
        door.ready();
    }

    /** Begins the orderly end: not ready, idle connections closed, others closed with their answer. */
    @Override
    public void stop(double heardAtMs, double newcomersMs) {
        door.stop(heardAtMs);
    }

    @Override
    public boolean quiet() {
        return door.quiet();
    }
}
