package plumpost.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;

/**
 * The settings of the Gearman front; see docs/gearman.md.
 *
 * @param listen the address at which clients and workers connect
 * @param plant index of the plant that its workers are listed under
 * @param model index of the model that its workers are listed under
 * @param functions rules that map functions to classes; the first match applies
 * @param backgroundMs how long a background job may wait and run
 * @param returnMs time within which a worker that reconnects under its client id is not cold again
 * @param grabHoldMs how long a worker's grab may wait for a job before it is answered that there is none
 * @param allowedAdminCommands the restricted admin commands that are allowed
 * @param limits the front's resource limits
 */
public record GearmanConfig(
        InetSocketAddress listen,
        int plant,
        int model,
        List<Rule> functions,
        double backgroundMs,
        double returnMs,
        double grabHoldMs,
        Set<String> allowedAdminCommands,
        Limits limits) {

    /** Assigns the functions whose names match to a class, given by its name. */
    public record Rule(Pattern match, String className) {}

    /**
     * The front's resource limits.
     *
     * @param packetBytes maximum bytes of a packet's arguments
     * @param readingBytes maximum bytes of all packets that are not complete yet
     * @param connections maximum number of connections, 0 for an eighth of {@code limits.sockets}
     * @param functions maximum number of known functions
     * @param queue maximum number of waiting jobs of one function, 0 for no separate limit
     * @param jobsPerClient maximum number of open jobs submitted by one connection
     * @param scheduled maximum number of jobs scheduled for a later time
     * @param scheduledBytes maximum bytes of the data of scheduled jobs
     * @param openJobs maximum number of open jobs of all fronts, 0 to derive it from the heap size
     * @param jobBytes maximum bytes of the data of open jobs, 0 for a fifth of the heap
     * @param keptOutcomes maximum number of outcomes kept for resubmitted jobs, 0 to derive it from the heap size
     */
    public record Limits(
            int packetBytes,
            long readingBytes,
            int connections,
            int functions,
            int queue,
            int jobsPerClient,
            int scheduled,
            long scheduledBytes,
            int openJobs,
            long jobBytes,
            int keptOutcomes) {
        /** The default limits. */
        public static final Limits DEFAULT =
                new Limits(65 * 1024, 8 << 20, 0, 1024, 0, 65_536, 10_000, 8 << 20, 0, 0, 0);
    }

    /** The admin commands that are refused unless the configuration allows them. */
    public static final Set<String> RESTRICTED_ADMIN_COMMANDS = Set.of("shutdown", "drop", "cancel", "create");

    /** Returns the default settings for a listening address. */
    public static GearmanConfig withDefaults(InetSocketAddress listen) {
        return new GearmanConfig(listen, 0, 0, List.of(), 3_600_000, 30_000, 0, Set.of(), Limits.DEFAULT);
    }

    /** Reads the section {@code gearman}; null if it names no address. */
    static GearmanConfig read(Fields section, Fields settings) {
        section.allowOnly(
                "listen", "plant", "model", "functions", "backgroundMs", "returnMs", "grabHoldMs", "admin", "limits");
        String listen = section.text("listen", "");
        if (listen.isEmpty()) {
            return null;
        }
        List<String> classes = new ArrayList<>();
        for (Object item : settings.list("classes")) {
            classes.add(Json.fields("config.classes", item).text("name", "class " + classes.size()));
        }
        List<Rule> rules = new ArrayList<>();
        for (Object item : section.listOrEmpty("functions")) {
            Fields rule = Json.fields(section.context() + ".functions[" + rules.size() + "]", item);
            rule.allowOnly("match", "class");
            String className = rule.text("class");
            requiredIndex(classes, rule, "class", className);
            rules.add(new Rule(globPattern(rule, rule.text("match")), className));
        }
        Set<String> allowed = new java.util.HashSet<>();
        Fields admin = section.objectOrEmpty("admin");
        admin.allowOnly(RESTRICTED_ADMIN_COMMANDS.toArray(String[]::new));
        for (String command : RESTRICTED_ADMIN_COMMANDS) {
            if (admin.flag(command, false)) {
                allowed.add(command);
            }
        }
        return new GearmanConfig(
                NodeListReader.parseAddress(section.context() + ".listen", listen),
                optionalIndex(settings.listOrEmpty("dcs"), section, "plant"),
                optionalIndex(settings.listOrEmpty("shapes"), section, "model"),
                List.copyOf(rules),
                section.numberInRange("backgroundMs", 3_600_000, 1, 7 * 86_400_000.0),
                section.numberInRange("returnMs", 30_000, 0, 3_600_000),
                section.numberInRange("grabHoldMs", 10, 0, 1000),
                Set.copyOf(allowed),
                limits(section.objectOrEmpty("limits")));
    }

    private static Limits limits(Fields section) {
        Limits defaults = Limits.DEFAULT;
        Map<String, Long> values = new LinkedHashMap<>();
        values.put("packetBytes", section.integer("packetBytes", defaults.packetBytes, 1024, 64 << 20));
        values.put("readingBytes", section.integer("readingBytes", defaults.readingBytes, 65_536, 1L << 32));
        values.put("connections", section.integer("connections", defaults.connections, 0, 60_000));
        values.put("functions", section.integer("functions", defaults.functions, 1, 65_536));
        values.put("queue", section.integer("queue", defaults.queue, 0, 10_000_000));
        values.put("jobsPerClient", section.integer("jobsPerClient", defaults.jobsPerClient, 1, 10_000_000));
        values.put("scheduled", section.integer("scheduled", defaults.scheduled, 0, 1_000_000));
        values.put("scheduledBytes", section.integer("scheduledBytes", defaults.scheduledBytes, 0, 1L << 32));
        values.put("openJobs", section.integer("openJobs", defaults.openJobs, 0, 10_000_000));
        values.put("jobBytes", section.integer("jobBytes", defaults.jobBytes, 0, 1L << 36));
        values.put("keptOutcomes", section.integer("keptOutcomes", defaults.keptOutcomes, 0, 10_000_000));
        section.allowOnly(values.keySet().toArray(String[]::new));
        return new Limits(
                values.get("packetBytes").intValue(),
                values.get("readingBytes"),
                values.get("connections").intValue(),
                values.get("functions").intValue(),
                values.get("queue").intValue(),
                values.get("jobsPerClient").intValue(),
                values.get("scheduled").intValue(),
                values.get("scheduledBytes"),
                values.get("openJobs").intValue(),
                values.get("jobBytes"),
                values.get("keptOutcomes").intValue());
    }

    /** Compiles a glob in which {@code *} matches any characters and {@code ?} matches one. */
    private static Pattern globPattern(Fields fields, String glob) {
        if (glob.isEmpty()) {
            throw new BadInput(fields.context() + ": field match is empty");
        }
        StringBuilder regex = new StringBuilder();
        for (char character : glob.toCharArray()) {
            regex.append(character == '*' ? ".*" : character == '?' ? "." : Pattern.quote(String.valueOf(character)));
        }
        return Pattern.compile(regex.toString(), Pattern.DOTALL);
    }

    private static int optionalIndex(List<?> names, Fields section, String field) {
        return section.has(field) ? requiredIndex(names, section, field, section.text(field)) : 0;
    }

    private static int requiredIndex(List<?> names, Fields section, String field, String name) {
        int index = names.indexOf(name);
        if (index < 0) {
            throw new BadInput(section.context() + "." + field + " is not in the settings: " + name);
        }
        return index;
    }
}
