package plumpost.cli;

import java.util.Collection;
import java.util.List;
import plumpost.config.Json.BadInput;
import plumpost.config.NodeConfig;
import plumpost.config.PeersConfig;
import plumpost.control.ControlOperations;
import plumpost.dispatch.DispatchCore;
import plumpost.gearman.GearmanFront;
import plumpost.net.LoopContext;
import plumpost.net.SelectorLoop;
import plumpost.peers.Fleet;
import plumpost.peers.Host;
import plumpost.peers.Peers;
import plumpost.platform.Platform;

/** What the fleet asks of this scheduler, carried out by its core and its fronts. */
final class FleetHost implements Host {
    private final DispatchCore room;
    private final Platform platform;
    private final GearmanFront gearman;

    /** A host; {@code gearman} may be null. */
    FleetHost(DispatchCore room, Platform platform, GearmanFront gearman) {
        this.room = room;
        this.platform = platform;
        this.gearman = gearman;
    }

    /** Makes this scheduler's part in its fleet and joins it to the core and the fronts. */
    static Fleet begin(
            NodeConfig config,
            String data,
            DispatchCore room,
            Platform platform,
            GearmanFront gearman,
            ControlOperations console,
            LoopContext kit,
            SelectorLoop loop) {
        PeersConfig peers = PeersConfig.read(config.peers(), config.name(), data, config.discovery() != null);
        List<String> classes =
                config.settings().classes().stream().map(c -> c.name()).toList();
        peers.covered().classes().forEach(c -> {
            if (!classes.contains(c)) {
                throw new BadInput(
                        "configuration: peers: field covers names " + c + ", not one of the classes " + classes);
            }
        });
        if (gearman == null && !peers.covered().classes().isEmpty()) {
            throw new BadInput("configuration: peers: field covers needs the section gearman");
        }
        Fleet made = Peers.maker().make(peers, new FleetHost(room, platform, gearman), kit, loop::onLoop);
        console.in(made);
        if (gearman != null) {
            gearman.in(made);
        }
        platform.in(made::heard);
        return made;
    }

    @Override
    public void banned(String node, boolean out) {
        room.banned(node, out);
    }

    @Override
    public Collection<String> functions() {
        return gearman == null ? List.of() : gearman.served();
    }

    @Override
    public boolean run(Fleet.Job job) {
        return gearman != null && gearman.runPlanned(job);
    }

    @Override
    public void callBack(String id) {
        if (gearman != null) {
            gearman.callBack(id);
        }
    }

    @Override
    public void told(String line) {
        platform.told(line);
    }

    @Override
    public void ask(boolean itself, boolean whole) {
        platform.ask(itself, whole);
    }

    @Override
    public boolean hears() {
        return platform.hears();
    }
}
