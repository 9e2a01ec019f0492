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
 * The Gearman front's settings; see docs/gearman.md.
 *
 * @param listen where clients and workers connect
 * @param plant index of the plant that its workers are listed under
 * @param model index of the model that its workers are listed under
 * @param functions which function belongs to which class; the first rule that matches holds
 * @param backgroundMs how long a background job may wait and run
 * @param returnMs within what time a worker that comes back under its client id is not cold again
 * @param grabHoldMs how long a worker's grab may wait for a job before it is told that there is none
 * @param allowed the admin lines that can harm and are allowed all the same
 * @param limits what the front may hold
 */
public record GearmanConfig(
        InetSocketAddress listen,
        int plant,
        int model,
        List<Rule> functions,
        double backgroundMs,
        double returnMs,
        double grabHoldMs,
        Set<String> allowed,
        Limits limits) {

    /** Functions whose names match belong to a class. */
    public record Rule(Pattern match, int cls) {}

    /**
     * What the front may hold.
     *
     * @param packetBytes bytes of a packet's arguments
     * @param readingBytes bytes of all packets that are not whole yet
     * @param connections places for connections, 0 for an eighth of {@code limits.sockets}
     * @param functions functions known at once
     * @param queue jobs of one function that wait, 0 for no limit of its own
     * @param jobsPerClient open jobs that one connection has submitted
     * @param scheduled jobs that wait for their time
     * @param scheduledBytes bytes of their data
     * @param openJobs open jobs of all fronts, 0 for what the heap allows
     * @param jobBytes bytes of their data, 0 for a fifth of the heap
     * @param keptOutcomes outcomes kept for resubmits, 0 for what the heap allows
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
        /** The limits where nothing is said. */
        public static final Limits USUAL = new Limits(65 * 1024, 8 << 20, 0, 1024, 0, 65_536, 10_000, 8 << 20, 0, 0, 0);
    }

    /** The admin lines that are off until they are allowed. */
    public static final Set<String> HARMFUL = Set.of("shutdown", "drop", "cancel", "create");

    /** A front with nothing said but its address. */
    public static GearmanConfig usual(InetSocketAddress listen) {
        return new GearmanConfig(listen, 0, 0, List.of(), 3_600_000, 30_000, 0, Set.of(), Limits.USUAL);
    }

    /** Reads the section {@code gearman}; null where it names no address. */
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
            Fields rule = Json.fields(section.where() + ".functions[" + rules.size() + "]", item);
            rule.allowOnly("match", "class");
            rules.add(new Rule(
                    globPattern(rule, rule.text("match")), requiredIndex(classes, rule, "class", rule.text("class"))));
        }
        Set<String> allowed = new java.util.HashSet<>();
        Fields admin = section.objectOrEmpty("admin");
        admin.allowOnly(HARMFUL.toArray(String[]::new));
        for (String command : HARMFUL) {
            if (admin.flag(command, false)) {
                allowed.add(command);
            }
        }
        return new GearmanConfig(
                NodeListReader.address(section.where() + ".listen", listen),
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
        Limits defaults = Limits.USUAL;
        Map<String, Long> values = new LinkedHashMap<>();
        values.put("packetBytes", section.whole("packetBytes", defaults.packetBytes, 1024, 64 << 20));
        values.put("readingBytes", section.whole("readingBytes", defaults.readingBytes, 65_536, 1L << 32));
        values.put("connections", section.whole("connections", defaults.connections, 0, 60_000));
        values.put("functions", section.whole("functions", defaults.functions, 1, 65_536));
        values.put("queue", section.whole("queue", defaults.queue, 0, 10_000_000));
        values.put("jobsPerClient", section.whole("jobsPerClient", defaults.jobsPerClient, 1, 10_000_000));
        values.put("scheduled", section.whole("scheduled", defaults.scheduled, 0, 1_000_000));
        values.put("scheduledBytes", section.whole("scheduledBytes", defaults.scheduledBytes, 0, 1L << 32));
        values.put("openJobs", section.whole("openJobs", defaults.openJobs, 0, 10_000_000));
        values.put("jobBytes", section.whole("jobBytes", defaults.jobBytes, 0, 1L << 36));
        values.put("keptOutcomes", section.whole("keptOutcomes", defaults.keptOutcomes, 0, 10_000_000));
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

    /** A pattern in which {@code *} stands for any characters and {@code ?} for one. */
    private static Pattern globPattern(Fields fields, String glob) {
        if (glob.isEmpty()) {
            throw new BadInput(fields.where() + ": field match is empty");
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
            throw new BadInput(section.where() + "." + field + " is not in the settings: " + name);
        }
        return index;
    }
}
