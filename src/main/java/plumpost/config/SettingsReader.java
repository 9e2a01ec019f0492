package plumpost.config;

import java.util.ArrayList;
import java.util.List;
import plumpost.config.Json.Fields;
import plumpost.decision.Dispatcher;

/** Reads the dispatcher's settings, which the simulator and the platform provide in the same form. */
public final class SettingsReader {
    private SettingsReader() {}

    /** Reads the dispatcher's settings for a simulated host. */
    public static Dispatcher.Settings settings(Fields config) {
        return settings(config, HostTiming.SIMULATED);
    }

    /**
     * The delays that a host's network links and scheduling add to the settings.
     *
     * @param extraGranularityMs added to the configured granularity of its events
     * @param maxHoldUpMs how long the process may be paused between a decision and its write; windows end that much earlier
     * @param minTimeLeftMs no attempt is begun when the client has less time left than this
     */
    record HostTiming(double extraGranularityMs, double maxHoldUpMs, double minTimeLeftMs) {
        /** A host in simulated time, which carries out each decision without delay. */
        static final HostTiming SIMULATED = new HostTiming(0, 0, 0);
    }

    /** Reads the dispatcher's settings for a given host. */
    static Dispatcher.Settings settings(Fields config, HostTiming host) {
        Fields info = config.objectOrEmpty("familyInfo");
        Fields limits = config.objectOrEmpty("ceilings");
        Fields rules = config.object("rules");
        Fields fees = config.objectOrEmpty("fees");
        Fields report = config.objectOrEmpty("report");
        double granularity = config.number("granularityMs", 1) + host.extraGranularityMs();
        List<Dispatcher.JobClass> classes = new ArrayList<>();
        for (Fields jobClass : config.objects("classes")) {
            int classIndex = classes.size();
            classes.add(new Dispatcher.JobClass(
                    jobClass.text("name", "class " + classIndex),
                    jobClass.number("sloMs"),
                    jobClass.number("aimStretch", numberAt(info, "classStretch", classIndex, 0)),
                    jobClass.number("deadlineMs"),
                    jobClass.enumValue("effect", Dispatcher.Effect.class),
                    // An unknown scope is read as the narrowest, within which a repeat is harmless whatever was meant.
                    jobClass.enumValue(
                            "keyScope",
                            Dispatcher.Scope.class,
                            jobClass.has("keyScope") ? Dispatcher.Scope.CELL : Dispatcher.Scope.ALL),
                    shortenedWindow(jobClass.number("windowMs", 0), host),
                    jobClass.number("importance", 1),
                    jobClass.number("lateWorth", 0),
                    (int) numberAt(info, "classKind", classIndex, -1),
                    (int) numberAt(info, "classPriority", classIndex, 0)));
        }
        List<Dispatcher.Tenant> tenants = new ArrayList<>();
        for (Fields tenant : config.objectsOrNone("tenants")) {
            tenants.add(new Dispatcher.Tenant(
                    tenant.text("name", "tenant " + tenants.size()),
                    tenant.number("quotaPerS", Double.POSITIVE_INFINITY),
                    tenant.number("share", 0)));
        }
        return new Dispatcher.Settings(
                (int) config.number("balancers", 1),
                (int) config.number("index", 0),
                (int) config.number("locality", 0),
                Math.max(1, config.listOrEmpty("dcs").size()),
                Math.max(1, config.listOrEmpty("shapes").size()),
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
                switch (report.text("via", "silent")) { // an unknown way counts as no reports
                    case "piggyback" -> Dispatcher.Reports.PIGGYBACK;
                    case "pull" -> Dispatcher.Reports.PULL;
                    default -> Dispatcher.Reports.SILENT;
                },
                report.listOrEmpty("fields").contains("x0")
                        && info.text("reportX0", "free slots").equals("free slots"),
                config.text("membershipMode", "pushed").equals("on_request"),
                info.flag("tellsStart", false),
                info.number("progressMs", 0),
                config.text("worthBy", "request").equals("work"),
                config.number("overShareWorth", 1),
                granularity,
                Math.max(2 * granularity, host.minTimeLeftMs()));
    }

    /** Shortens a window, since a repeat may be delayed between its decision and its last byte; a short window is at most halved. */
    private static double shortenedWindow(double configuredMs, HostTiming host) {
        return configuredMs - Math.min(host.maxHoldUpMs(), configuredMs / 2);
    }

    private static double numberAt(Fields fields, String name, int index, double fallback) {
        List<?> items = fields.listOrEmpty(name);
        return index < items.size() && items.get(index) instanceof Number n ? n.doubleValue() : fallback;
    }
}
