package plumpost.config;

import java.io.IOException;
import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.decision.Dispatcher;
import plumpost.time.HoldUp;

/**
 * What a scheduler is told at its start.
 *
 * @param name its name
 * @param listen where clients connect, or null
 * @param discovery where the node list is, or null
 * @param seed for random numbers
 * @param sockets descriptors that the process may hold
 * @param settings the settings in the module's words
 * @param raw the settings as given
 * @param known the list of route nodes as last had
 * @param gearman the Gearman front, or null while it is off
 * @param logFormat text or json, or null where the file says nothing of the log
 * @param ops where the operators' calls are listened for, or null
 * @param peers the section that names the schedulers that this one may talk to, as given, or null while there are none
 */
public record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        Dispatcher.Settings settings,
        Fields raw,
        Fields known,
        GearmanConfig gearman,
        String logFormat,
        InetSocketAddress ops,
        Fields peers) {

    /** A configuration without peers. */
    public NodeConfig(
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            long seed,
            int sockets,
            Dispatcher.Settings settings,
            Fields raw,
            Fields known,
            GearmanConfig gearman,
            String logFormat,
            InetSocketAddress ops) {
        this(name, listen, discovery, seed, sockets, settings, raw, known, gearman, logFormat, ops, null);
    }

    /**
     * What real links add to the granularity that is told: an order's new connection and the proof that it stands take
     * some 10 ms, and the module takes a start for prompt within four times its granularity.
     */
    static final double LINK_GRANULARITY_MS = 2.5;
    /** The fleet's section under a name that no platform's page uses. */
    static final String FLEET_SECTION = "plumpost_fleet";

    private static final SettingsReader.HostTiming REAL_HOST =
            new SettingsReader.HostTiming(LINK_GRANULARITY_MS, HoldUp.MS, HoldUp.LEAST_LEFT_MS);

    /** Takes the file read anew: it is newer than the environment, so its discovery goes before NODE_DISCOVERY. */
    public static NodeConfig reread(Fields file, Map<String, String> environment) {
        Map<String, String> withoutDiscovery = new HashMap<>(environment);
        withoutDiscovery.remove("NODE_DISCOVERY");
        return from(file, withoutDiscovery);
    }

    /**
     * Takes a file read at SIGHUP, or says why not: one that is empty or cut off, lacks a key that the file taken last
     * had, or has a deadline or attempts not over 0, is bad input as a whole, and nothing of it is taken.
     */
    public static NodeConfig reload(Fields previous, Fields current, Map<String, String> environment) {
        String missingKey = ConfigShape.firstMissingKey(previous.map(), current.map());
        if (missingKey != null) {
            throw new BadInput("configuration: key " + missingKey + " is missing");
        }
        NodeConfig config = reread(current, environment);
        for (String passedOver : current.ignored() == null ? List.<String>of() : current.ignored()) {
            if (previous.ignored() == null || !previous.ignored().contains(passedOver)) {
                throw new BadInput(
                        passedOver); // at the start it would be better than nothing, now the old file is better
            }
        }
        return config;
    }

    /** Reads the file and lets the environment's NODE_NAME, NODE_LISTEN and NODE_DISCOVERY go before it. */
    public static NodeConfig read(Path file, Map<String, String> environment) {
        return from(parse(file), environment);
    }

    /**
     * The file as JSON, before anything is taken from it; an empty or cut-off file is bad input. Its optional parts may be of
     * kinds that are not known here: a platform's newer page must not keep this program from serving.
     */
    public static Fields parse(Path file) {
        try {
            return Json.object("configuration", Files.readAllBytes(file)).lenient();
        } catch (IOException e) {
            throw new BadInput("configuration " + file + " cannot be read");
        }
    }

    /** Takes what a file says, with the environment's NODE_NAME, NODE_LISTEN and NODE_DISCOVERY before it. */
    public static NodeConfig from(Fields file, Map<String, String> environment) {
        Fields raw = file.object("settings");
        Dispatcher.Settings settings;
        try {
            settings = SettingsReader.settings(raw, REAL_HOST);
        } catch (IllegalArgumentException e) {
            throw new BadInput("configuration: " + e.getMessage());
        }
        NodeConfig config = new NodeConfig(
                environment.getOrDefault("NODE_NAME", file.text("name", "plumpost")),
                address(environment, "NODE_LISTEN", file, "listen"),
                address(environment, "NODE_DISCOVERY", file, "discovery"),
                seed(file),
                (int) file.objectOrEmpty("limits").number("sockets", 1024),
                settings,
                raw,
                file.objectOrEmpty("known"),
                isObject(file, "gearman") ? GearmanConfig.read(ownSection(file, "gearman"), raw) : null,
                isObject(file, "log") ? logFormat(ownSection(file, "log")) : null,
                address(environment, "NODE_OPS", file, "ops"),
                fleetSection(file));
        if (config.listen == null && config.gearman == null) {
            throw new BadInput("configuration: neither listen nor gearman.listen is given");
        }
        if (config.sockets < 64) {
            throw new BadInput("configuration: limits.sockets is under 64");
        }
        return config;
    }

    /** Whether an optional section of this program's own is given; something else under its name is passed over. */
    private static boolean isObject(Fields file, String name) {
        return !file.objectOrEmpty(name).map().isEmpty() || file.map().get(name) instanceof Map;
    }

    /** A section of this program's own: what is misspelt there is bad input. */
    private static Fields ownSection(Fields file, String name) {
        return Json.fields(file.where() + "." + name, file.map().get(name));
    }

    /**
     * The section on this program's fleet, or null. Its own name is {@value #FLEET_SECTION}. Under {@code peers} stands either that
     * section or what the platform tells of other schedulers (addresses, in whatever form), which is not used here.
     */
    private static Fields fleetSection(Fields file) {
        if (file.has(FLEET_SECTION)) {
            return ownSection(file, FLEET_SECTION);
        }
        boolean fleet = file.map().get("peers") instanceof Map<?, ?> section
                && PeersConfig.SETTINGS.stream().anyMatch(section::containsKey);
        return fleet ? ownSection(file, "peers") : null;
    }

    private static String logFormat(Fields section) {
        section.allowOnly("format");
        String format = section.text("format", "text");
        if (!format.equals("text") && !format.equals("json")) {
            throw new BadInput(section.where() + ": field format is " + format + ", not text or json");
        }
        return format;
    }

    /** Reads a section {@code gearman} beside the settings that it names classes, plants and models of. */
    public static GearmanConfig gearman(Fields section, Fields settings) {
        return GearmanConfig.read(section, settings);
    }

    private static InetSocketAddress address(
            Map<String, String> environment, String variable, Fields file, String field) {
        String text = environment.getOrDefault(variable, file.text(field, null));
        return text == null || text.isEmpty()
                ? null
                : NodeListReader.address(
                        environment.containsKey(variable) ? variable : "configuration: " + field, text);
    }

    /** The seed's number; a text that is no hexadecimal number still differs from start to start. */
    private static long seed(Fields file) {
        String text = file.text("seed", "0");
        try {
            return new BigInteger(text, 16).longValue();
        } catch (NumberFormatException e) {
            file.ignore("seed", text, "hexadecimal");
            return text.hashCode();
        }
    }
}
