package plumpost.config;

import java.util.ArrayList;
import java.util.List;
import plumpost.config.Json.Fields;
import plumpost.decision.Dispatcher;

/** Reads the settings that the simulator and the platform tell in the same form. */
public final class SettingsReader {
    private SettingsReader() {}

    /** The settings in the module's words, for a simulated host. */
    public static Dispatcher.Settings settings(Fields c) {
        return settings(c, Host.SIMULATED);
    }

    /**
     * What a host's links and clock add to the settings.
     *
     * @param coarserMs so much coarser than is told its events come
     * @param heldUpMs so long it may be held up between a decision and what it writes; windows end that much earlier
     * @param leastLeftMs with less time left to its client it begins no attempt
     */
    record Host(double coarserMs, double heldUpMs, double leastLeftMs) {
        /** A host in simulated time, which does at once what it decides. */
        static final Host SIMULATED = new Host(0, 0, 0);
    }

    /** The settings in the module's words, for a given host. */
    static Dispatcher.Settings settings(Fields c, Host host) {
        Fields info = c.objectOrEmpty("familyInfo");
        Fields limits = c.objectOrEmpty("ceilings");
        Fields rules = c.object("rules");
        Fields fees = c.objectOrEmpty("fees");
        Fields report = c.objectOrEmpty("report");
        double granularity = c.number("granularityMs", 1) + host.coarserMs();
        List<Dispatcher.JobClass> classes = new ArrayList<>();
        for (Fields k : c.objects("classes")) {
            int i = classes.size();
            classes.add(new Dispatcher.JobClass(
                    k.text("name", "class " + i),
                    k.number("sloMs"),
                    k.number("aimStretch", item(info, "classStretch", i, 0)),
                    k.number("deadlineMs"),
                    k.oneOf("effect", Dispatcher.Effect.class),
                    // A scope that is not known is the narrowest: a repeat there is harmless in any.
                    k.oneOf(
                            "keyScope",
                            Dispatcher.Scope.class,
                            k.has("keyScope") ? Dispatcher.Scope.CELL : Dispatcher.Scope.ALL),
                    window(k.number("windowMs", 0), host),
                    k.number("importance", 1),
                    k.number("lateWorth", 0),
                    (int) item(info, "classKind", i, -1),
                    (int) item(info, "classPriority", i, 0)));
        }
        List<Dispatcher.Tenant> tenants = new ArrayList<>();
        for (Fields t : c.objectsOrNone("tenants")) {
            tenants.add(new Dispatcher.Tenant(
                    t.text("name", "tenant " + tenants.size()),
                    t.number("quotaPerS", Double.POSITIVE_INFINITY),
                    t.number("share", 0)));
        }
        return new Dispatcher.Settings(
                (int) c.number("balancers", 1),
                (int) c.number("index", 0),
                (int) c.number("locality", 0),
                Math.max(1, c.listOrEmpty("dcs").size()),
                Math.max(1, c.listOrEmpty("shapes").size()),
                classes,
                tenants,
                new Dispatcher.Limits(
                        (int) limits.number("maxAttempts", 1),
                        limits.flag("parallelTries", false),
                        limits.flag("cancelling", false),
                        limits.flag("probes", false),
                        limits.flag("peers", false),
                        limits.flag("retryAfter", false),
                        limits.number("maxRetryAfterMs", 0),
                        limits.number("dialTimeoutMs", 0),
                        limits.number("keepaliveMs", 0)),
                new Dispatcher.Rules(
                        rules.number("coldFrom", 1),
                        rules.number("coldMs", 0),
                        rules.number("fallMs", 0),
                        rules.number("fallMultiple", 1),
                        rules.number("graceToAnswerMs", 0),
                        rules.number("mustAskInMs", 10_000),
                        rules.number("stopSendingWithinMs", 0)),
                new Dispatcher.Fees(
                        fees.number("crossZone", 0),
                        fees.number("handshake", 0),
                        fees.number("probe", 0),
                        fees.number("peer", 0),
                        fees.number("lateFail", 0),
                        fees.number("waste", 0)),
                switch (report.text("via", "silent")) { // a way that is not known tells nothing
                    case "piggyback" -> Dispatcher.Reports.PIGGYBACK;
                    case "pull" -> Dispatcher.Reports.PULL;
                    default -> Dispatcher.Reports.SILENT;
                },
                report.listOrEmpty("fields").contains("x0")
                        && info.text("reportX0", "free slots").equals("free slots"),
                c.text("membershipMode", "pushed").equals("on_request"),
                info.flag("tellsStart", false),
                info.number("progressMs", 0),
                c.text("worthBy", "request").equals("work"),
                c.number("overShareWorth", 1),
                granularity,
                Math.max(2 * granularity, host.leastLeftMs()));
    }

    /** A repeat may be held up between its decision and its last byte; a window too short for that is halved. */
    private static double window(double toldMs, Host host) {
        return toldMs - Math.min(host.heldUpMs(), toldMs / 2);
    }

    private static double item(Fields f, String name, int i, double otherwise) {
        List<?> items = f.listOrEmpty(name);
        return i < items.size() && items.get(i) instanceof Number n ? n.doubleValue() : otherwise;
    }
}
