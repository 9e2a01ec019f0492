package plumpost.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.decision.Dispatcher.Phase;
import plumpost.decision.Dispatcher.WorkerEntry;

/** Reads node lists in the format of discovery, which the configuration also uses for the last known list. */
public final class NodeListReader {
    private static final String IPV4 = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])(\\.(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])){3}";

    /** End of the year 9999 as Unix time; a later time is invalid. */
    private static final double MAX_UNIX_MS = 253_402_300_800_000.0;

    private final List<?> plants;
    private final List<?> models;
    private final StartTimes startTimes;
    private final Consumer<String> malformed;

    /** Converts the Unix times at which workers started to the event loop's clock. */
    public interface StartTimes {
        /** Leaves times unchanged, for a clock that shows Unix time. */
        StartTimes AS_GIVEN = (host, bornMs) -> bornMs;

        /** Returns a worker's start by the loop's clock; {@code bornMs} is greater than 0. */
        double toLoopTime(String host, double bornMs);
    }

    /** One entry of a node list: a route node and the address at which this scheduler reaches it. */
    public record NodeLine(WorkerEntry entry, InetSocketAddress address) {}

    /** A complete node list or the changes to it, with its version. */
    public record NodeListUpdate(long version, boolean complete, List<NodeLine> lines) {}

    /** Creates a reader with the names of plants and models from the settings; malformed lines are reported and skipped. */
    public NodeListReader(Fields settings, StartTimes startTimes, Consumer<String> malformed) {
        this.startTimes = startTimes;
        this.plants = settings.listOrEmpty("dcs");
        this.models = settings.listOrEmpty("shapes");
        this.malformed = malformed;
    }

    /** Reads a list; throws {@link BadInput} if it is not a node list. */
    public NodeListUpdate read(Fields list) {
        List<NodeLine> lines = new ArrayList<>();
        for (Object item : list.listOrEmpty("hosts")) {
            try {
                lines.add(readLine(Json.fields("hosts", item)));
            } catch (BadInput e) {
                malformed.accept(e.getMessage());
            }
        }
        return new NodeListUpdate(list.longInteger("seq"), list.flag("whole", false), lines);
    }

    private NodeLine readLine(Fields fields) {
        Phase phase =
                switch (fields.text("health")) {
                    case "up" -> Phase.SERVING;
                    case "removed" -> Phase.DELETED;
                    default -> Phase.DRAINING; // draining, or an unknown value: no new jobs are sent
                };
        WorkerEntry entry = new WorkerEntry(
                fields.text("host"),
                indexOrZero(plants, fields, "site"),
                indexOrZero(models, fields, "class"),
                (int) fields.number("block", 0),
                phase,
                fields.number("share", 1),
                startedAt(fields));
        String dial = fields.text("dial", null);
        if (dial == null && phase == Phase.SERVING) {
            throw new BadInput("hosts: " + entry.id() + " has no dial address");
        }
        return new NodeLine(entry, dial == null ? null : parseAddress("dial", dial));
    }

    /** Returns when the worker started, 0 for long ago. An invalid time is reported and read as 0. */
    private double startedAt(Fields fields) {
        double bornMs = fields.number("born_ms", 0);
        if (!(bornMs >= 0 && bornMs < MAX_UNIX_MS)) {
            malformed.accept("hosts: field born_ms of " + fields.text("host") + " is " + bornMs + ", no Unix time");
            return 0;
        }
        return bornMs == 0 ? 0 : startTimes.toLoopTime(fields.text("host"), bornMs);
    }

    private static int indexOrZero(List<?> names, Fields fields, String field) {
        String name = fields.text(field, null);
        return name == null ? 0 : Math.max(0, names.indexOf(name)); // an unmodifiable list throws on indexOf(null)
    }

    /** Parses a numeric IP address and port; host names are not resolved. Throws {@link BadInput} for anything else. */
    public static InetSocketAddress parseAddress(String source, String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0
                ? ""
                : text.substring(0, colon).replaceAll("^\\[|\\]$", "").toLowerCase(Locale.ROOT);
        if (!host.matches(IPV4 + "|[0-9a-f:.]*:[0-9a-f:.]*")
                || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new BadInput(source + " is not an address and port: " + text);
        }
        try {
            return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new BadInput(source + " is not an address and port: " + text);
        }
    }
}
