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
    static final double LINK_MS = 2.5;
    /** The fleet's section under a name that no platform's page uses. */
    static final String FLEET = "plumpost_fleet";

    private static final SettingsReader.Host REAL_HOST =
            new SettingsReader.Host(LINK_MS, HoldUp.MS, HoldUp.LEAST_LEFT_MS);

    /** Takes the file read anew: it is newer than the environment, so its discovery goes before NODE_DISCOVERY. */
    public static NodeConfig reread(Fields file, Map<String, String> environment) {
        Map<String, String> older = new HashMap<>(environment);
        older.remove("NODE_DISCOVERY");
        return from(file, older);
    }

    /**
     * Takes a file read at SIGHUP, or says why not: one that is empty or cut off, lacks a key that the file taken last
     * had, or has a deadline or attempts not over 0, is bad input as a whole, and nothing of it is taken.
     */
    public static NodeConfig again(Fields last, Fields whole, Map<String, String> environment) {
        String gap = Shape.missing(last.map(), whole.map());
        if (gap != null) {
            throw new BadInput("configuration: key " + gap + " is missing");
        }
        NodeConfig taken = reread(whole, environment);
        for (String passedOver : whole.passedOver() == null ? List.<String>of() : whole.passedOver()) {
            if (last.passedOver() == null || !last.passedOver().contains(passedOver)) {
                throw new BadInput(
                        passedOver); // at the start it would be better than nothing, now the old file is better
            }
        }
        return taken;
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
    public static NodeConfig from(Fields f, Map<String, String> environment) {
        Fields raw = f.object("settings");
        Dispatcher.Settings settings;
        try {
            settings = SettingsReader.settings(raw, REAL_HOST);
        } catch (IllegalArgumentException e) {
            throw new BadInput("configuration: " + e.getMessage());
        }
        NodeConfig c = new NodeConfig(
                environment.getOrDefault("NODE_NAME", f.text("name", "plumpost")),
                address(environment, "NODE_LISTEN", f, "listen"),
                address(environment, "NODE_DISCOVERY", f, "discovery"),
                seed(f),
                (int) f.objectOrEmpty("limits").number("sockets", 1024),
                settings,
                raw,
                f.objectOrEmpty("known"),
                isObject(f, "gearman") ? GearmanConfig.read(strict(f, "gearman"), raw) : null,
                isObject(f, "log") ? logFormat(strict(f, "log")) : null,
                address(environment, "NODE_OPS", f, "ops"),
                fleetSection(f));
        if (c.listen == null && c.gearman == null) {
            throw new BadInput("configuration: neither listen nor gearman.listen is given");
        }
        if (c.sockets < 64) {
            throw new BadInput("configuration: limits.sockets is under 64");
        }
        return c;
    }

    /** Whether an optional section of this program's own is given; something else under its name is passed over. */
    private static boolean isObject(Fields f, String name) {
        return !f.objectOrEmpty(name).map().isEmpty() || f.map().get(name) instanceof Map;
    }

    /** A section of this program's own: what is misspelt there is bad input. */
    private static Fields strict(Fields f, String name) {
        return Json.fields(f.where() + "." + name, f.map().get(name));
    }

    /**
     * The section on this program's fleet, or null. Its own name is {@value #FLEET}. Under {@code peers} stands either that
     * section or what the platform tells of other schedulers (addresses, in whatever form), which is not used here.
     */
    private static Fields fleetSection(Fields f) {
        if (f.has(FLEET)) {
            return strict(f, FLEET);
        }
        boolean fleet = f.map().get("peers") instanceof Map<?, ?> section
                && PeersConfig.SETTINGS.stream().anyMatch(section::containsKey);
        return fleet ? strict(f, "peers") : null;
    }

    private static String logFormat(Fields f) {
        f.only("format");
        String format = f.text("format", "text");
        if (!format.equals("text") && !format.equals("json")) {
            throw new BadInput(f.where() + ": field format is " + format + ", not text or json");
        }
        return format;
    }

    /** Reads a section {@code gearman} beside the settings that it names classes, plants and models of. */
    public static GearmanConfig gearman(Fields section, Fields settings) {
        return GearmanConfig.read(section, settings);
    }

    private static InetSocketAddress address(Map<String, String> environment, String variable, Fields f, String field) {
        String text = environment.getOrDefault(variable, f.text(field, null));
        return text == null || text.isEmpty()
                ? null
                : NodeListReader.address(
                        environment.containsKey(variable) ? variable : "configuration: " + field, text);
    }

    /** The seed's number; a text that is no hexadecimal number still differs from start to start. */
    private static long seed(Fields f) {
        String text = f.text("seed", "0");
        try {
            return new BigInteger(text, 16).longValue();
        } catch (NumberFormatException e) {
            f.passOver("seed", text, "hexadecimal");
            return text.hashCode();
        }
    }
}
