package plumpost.platform;

import java.net.InetSocketAddress;
import java.util.function.DoubleSupplier;
import plumpost.config.NodeConfig;
import plumpost.config.NodeListReader;
import plumpost.dispatch.DispatchRoom;
import plumpost.net.Kit;
import plumpost.net.Wire;
import plumpost.net.WireUser;

/** The platform's side of a scheduler: its front, its links to route nodes and its watch on the node list. */
public final class Platform {
    private final FrontDoor door;
    private final NodeListWatch watch;
    private final NodeListReader reader;
    private final NodeConfig config;

    /** Joins the platform's protocol to a core; {@code lag} tells how long bytes may have lain unread. */
    public Platform(NodeConfig config, DispatchRoom room, Kit kit, DoubleSupplier lag) {
        this.config = config;
        int nodeConnections = config.sockets() / 3;
        reader = new NodeListReader(config.raw(), why -> {
            kit.counters().count("list.malformed_line");
            kit.log().accept("malformed node list line: " + why);
        });
        RouteNodes nodes = new RouteNodes(kit, config.settings(), nodeConnections);
        watch = new NodeListWatch(kit, config.discovery(), reader, nodes, room);
        door = new FrontDoor(room, kit, config.settings(), lag::getAsDouble);
    }

    /** Connections that front desks may hold open together. */
    public static int connections(NodeConfig config) {
        return config.sockets() * 9 / 20;
    }

    /** Ends the front desk's connection that matters least, where there is such a one. */
    public boolean shed() {
        return door.shed();
    }

    /** Tells the core the list as last had; the module then asks for the watch. */
    public void begin(DispatchRoom room) {
        room.add(watch);
        if (config.discovery() != null && config.known().has("seq")) {
            watch.saved(reader.read(config.known()));
        } else {
            watch.watch();
        }
    }

    /** Discovery is at another address from now on; jobs, connections and what is known of nodes stay. */
    public void move(InetSocketAddress discovery) {
        watch.move(discovery);
    }

    /** Takes a front desk's connection in. */
    public WireUser accept(Wire wire) {
        return door.accept(wire);
    }

    /** From here on the front says that it is ready. */
    public void ready() {
        door.ready();
    }

    /** Begins the orderly end: not ready, idle connections closed, others closed with their answer. */
    public void stop() {
        door.stop();
    }

    /** True when no client waits for anything. */
    public boolean quiet() {
        return door.quiet();
    }
}
