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
 * A scheduler's configuration.
 *
 * @param name the scheduler's name
 * @param listen the address for HTTP clients, or null
 * @param discovery the address of discovery, or null
 * @param seed seed for random numbers
 * @param sockets maximum number of descriptors that the process may use
 * @param settings the dispatcher's settings
 * @param rawSettings the section {@code settings} as read
 * @param lastNodeList the last known list of route nodes
 * @param gearman the Gearman front's settings, or null if it is off
 * @param log the settings of the log
 * @param ops the address for operators' calls, or null
 * @param peers the section on this scheduler's fleet as read, or null if it is in none
 */
public record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        Dispatcher.Settings settings,
        Fields rawSettings,
        Fields lastNodeList,
        GearmanConfig gearman,
        LogConfig log,
        InetSocketAddress ops,
        Fields peers) {

    /** Creates a configuration; without settings of the log it has the defaults. */
    public NodeConfig {
        log = log == null ? LogConfig.DEFAULT : log;
    }

    /** Creates a configuration without a fleet. */
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
            LogConfig log,
            InetSocketAddress ops) {
        this(name, listen, discovery, seed, sockets, settings, raw, known, gearman, log, ops, null);
    }

    /**
     * Added to the configured granularity for real network links: opening and verifying a new connection for an order takes
     * about 10 ms, and the dispatcher regards a start as prompt within four times its granularity.
     */
    static final double LINK_GRANULARITY_MS = 2.5;
    /** Name of the fleet's section that no platform's configuration uses. */
    static final String FLEET_SECTION = "plumpost_fleet";

    private static final SettingsReader.HostTiming REAL_HOST =
            new SettingsReader.HostTiming(LINK_GRANULARITY_MS, HoldUp.MAX_HOLD_UP_MS, HoldUp.LEAST_LEFT_MS);

    /** Reads a reloaded file: it is newer than the environment, so its discovery address overrides NODE_DISCOVERY. */
    public static NodeConfig reread(Fields file, Map<String, String> environment) {
        Map<String, String> withoutDiscovery = new HashMap<>(environment);
        withoutDiscovery.remove("NODE_DISCOVERY");
        return from(file, withoutDiscovery);
    }

    /**
     * Reads a file reloaded at SIGHUP. Throws {@link BadInput}, so that nothing of the file is applied, if it is empty or
     * truncated, lacks a key of the last applied file, or has a deadline or number of attempts that is not positive.
     */
    public static NodeConfig reload(Fields previous, Fields current, Map<String, String> environment) {
        String missingKey = ConfigShape.firstMissingKey(previous.map(), current.map());
        if (missingKey != null) {
            throw new BadInput("configuration: key " + missingKey + " is missing");
        }
        NodeConfig config = reread(current, environment);
        for (String ignored : current.ignored() == null ? List.<String>of() : current.ignored()) {
            if (previous.ignored() == null || !previous.ignored().contains(ignored)) {
                // At the start the field would be ignored; now the old configuration is the better choice.
                throw new BadInput(ignored);
            }
        }
        return config;
    }

    /** Reads a file; the environment variables described at {@link #from} override its values. */
    public static NodeConfig read(Path file, Map<String, String> environment) {
        return from(parse(file), environment);
    }

    /**
     * Parses the file as JSON without interpreting it; throws {@link BadInput} if it is empty or truncated. Optional fields of
     * unexpected types are ignored, so that a configuration of a newer platform does not prevent the start.
     */
    public static Fields parse(Path file) {
        try {
            return Json.object("configuration", Files.readAllBytes(file)).lenient();
        } catch (IOException e) {
            throw new BadInput("configuration " + file + " cannot be read");
        }
    }

    /**
     * Interprets a parsed file. NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_OPS in the environment override its values.
     * Throws {@link BadInput} if a required value is missing or invalid.
     */
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
                isObject(file, "log") ? LogConfig.read(ownSection(file, "log")) : null,
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

    /** Whether an optional section of this program is present; a value of another type under its name is ignored. */
    private static boolean isObject(Fields file, String name) {
        return !file.objectOrEmpty(name).map().isEmpty() || file.map().get(name) instanceof Map;
    }

    /** Returns a section that only this program defines, in strict mode: a wrong type there is an error. */
    private static Fields ownSection(Fields file, String name) {
        return Json.fields(file.context() + "." + name, file.map().get(name));
    }

    /**
     * Returns the section on this scheduler's fleet, or null. Its own name is {@value #FLEET_SECTION}. The key {@code peers}
     * contains either that section or the platform's addresses of other schedulers, in any form, which are not used here.
     */
    private static Fields fleetSection(Fields file) {
        if (file.has(FLEET_SECTION)) {
            return ownSection(file, FLEET_SECTION);
        }
        boolean fleet = file.map().get("peers") instanceof Map<?, ?> section
                && PeersConfig.SETTINGS.stream().anyMatch(section::containsKey);
        return fleet ? ownSection(file, "peers") : null;
    }

    /** Reads a section {@code gearman}, resolving its names of classes, plants and models in the given settings. */
    public static GearmanConfig gearman(Fields section, Fields settings) {
        return GearmanConfig.read(section, settings);
    }

    private static InetSocketAddress address(
            Map<String, String> environment, String variable, Fields file, String field) {
        String text = environment.getOrDefault(variable, file.text(field, null));
        return text == null || text.isEmpty()
                ? null
                : NodeListReader.parseAddress(
                        environment.containsKey(variable) ? variable : "configuration: " + field, text);
    }

    /** Parses the hexadecimal seed; any other text is hashed, so that different texts still give different seeds. */
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
