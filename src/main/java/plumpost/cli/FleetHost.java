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

/** Carries out the fleet's requests to this scheduler with its core and fronts. */
final class FleetHost implements Host {
    private final DispatchCore core;
    private final Platform platform;
    private final GearmanFront gearman;

    /** Creates a host; {@code gearman} may be null. */
    FleetHost(DispatchCore core, Platform platform, GearmanFront gearman) {
        this.core = core;
        this.platform = platform;
        this.gearman = gearman;
    }

    /** Creates this scheduler's fleet member and connects it to the core and the fronts; throws {@link BadInput} on bad settings. */
    static Fleet joinFleet(
            NodeConfig config,
            String data,
            DispatchCore core,
            Platform platform,
            GearmanFront gearman,
            ControlOperations controlOperations,
            LoopContext context,
            SelectorLoop loop) {
        PeersConfig peers = PeersConfig.read(config.peers(), config.name(), data, config.discovery() != null);
        List<String> classes = config.settings().classes().stream()
                .map(jobClass -> jobClass.name())
                .toList();
        peers.covered().classes().forEach(jobClass -> {
            if (!classes.contains(jobClass)) {
                throw new BadInput(
                        "configuration: peers: field covers names " + jobClass + ", not one of the classes " + classes);
            }
        });
        if (gearman == null && !peers.covered().classes().isEmpty()) {
            throw new BadInput("configuration: peers: field covers needs the section gearman");
        }
        Fleet fleet = Peers.maker().make(peers, new FleetHost(core, platform, gearman), context, loop::execute);
        controlOperations.joinFleet(fleet);
        if (gearman != null) {
            gearman.joinFleet(fleet);
        }
        platform.joinFleet(fleet::onDiscoveryLine);
        return fleet;
    }

    @Override
    public void banned(String node, boolean out) {
        core.applyFleetBan(node, out);
    }

    @Override
    public Collection<String> functions() {
        return gearman == null ? List.of() : gearman.servedFunctions();
    }

    @Override
    public boolean run(Fleet.Job job) {
        return gearman != null && gearman.runPlanned(job);
    }

    @Override
    public void callBack(String id) {
        if (gearman != null) {
            gearman.recallPlanned(id);
        }
    }

    @Override
    public void onNodeListLine(String line) {
        platform.applyFleetLine(line);
    }

    @Override
    public void setDiscoveryQueries(boolean itself, boolean whole) {
        platform.setAsking(itself, whole);
    }

    @Override
    public boolean discoveryAnswers() {
        return platform.isListening();
    }
}
