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
    static GearmanConfig read(Fields f, Fields settings) {
        f.only("listen", "plant", "model", "functions", "backgroundMs", "returnMs", "grabHoldMs", "admin", "limits");
        String listen = f.text("listen", "");
        if (listen.isEmpty()) {
            return null;
        }
        List<String> classes = new ArrayList<>();
        for (Object o : settings.list("classes")) {
            classes.add(Json.fields("config.classes", o).text("name", "class " + classes.size()));
        }
        List<Rule> rules = new ArrayList<>();
        for (Object o : f.listOrEmpty("functions")) {
            Fields r = Json.fields(f.where() + ".functions[" + rules.size() + "]", o);
            r.only("match", "class");
            rules.add(new Rule(glob(r, r.text("match")), index(classes, r, "class", r.text("class"))));
        }
        Set<String> allowed = new java.util.HashSet<>();
        Fields admin = f.objectOrEmpty("admin");
        admin.only(HARMFUL.toArray(String[]::new));
        for (String line : HARMFUL) {
            if (admin.flag(line, false)) {
                allowed.add(line);
            }
        }
        return new GearmanConfig(
                NodeListReader.address(f.where() + ".listen", listen),
                place(settings.listOrEmpty("dcs"), f, "plant"),
                place(settings.listOrEmpty("shapes"), f, "model"),
                List.copyOf(rules),
                f.between("backgroundMs", 3_600_000, 1, 7 * 86_400_000.0),
                f.between("returnMs", 30_000, 0, 3_600_000),
                f.between("grabHoldMs", 10, 0, 1000),
                Set.copyOf(allowed),
                limits(f.objectOrEmpty("limits")));
    }

    private static Limits limits(Fields f) {
        Limits u = Limits.USUAL;
        Map<String, Long> v = new LinkedHashMap<>();
        v.put("packetBytes", f.whole("packetBytes", u.packetBytes, 1024, 64 << 20));
        v.put("readingBytes", f.whole("readingBytes", u.readingBytes, 65_536, 1L << 32));
        v.put("connections", f.whole("connections", u.connections, 0, 60_000));
        v.put("functions", f.whole("functions", u.functions, 1, 65_536));
        v.put("queue", f.whole("queue", u.queue, 0, 10_000_000));
        v.put("jobsPerClient", f.whole("jobsPerClient", u.jobsPerClient, 1, 10_000_000));
        v.put("scheduled", f.whole("scheduled", u.scheduled, 0, 1_000_000));
        v.put("scheduledBytes", f.whole("scheduledBytes", u.scheduledBytes, 0, 1L << 32));
        v.put("openJobs", f.whole("openJobs", u.openJobs, 0, 10_000_000));
        v.put("jobBytes", f.whole("jobBytes", u.jobBytes, 0, 1L << 36));
        v.put("keptOutcomes", f.whole("keptOutcomes", u.keptOutcomes, 0, 10_000_000));
        f.only(v.keySet().toArray(String[]::new));
        return new Limits(
                v.get("packetBytes").intValue(),
                v.get("readingBytes"),
                v.get("connections").intValue(),
                v.get("functions").intValue(),
                v.get("queue").intValue(),
                v.get("jobsPerClient").intValue(),
                v.get("scheduled").intValue(),
                v.get("scheduledBytes"),
                v.get("openJobs").intValue(),
                v.get("jobBytes"),
                v.get("keptOutcomes").intValue());
    }

    /** A pattern in which {@code *} stands for any characters and {@code ?} for one. */
    private static Pattern glob(Fields f, String text) {
        if (text.isEmpty()) {
            throw new BadInput(f.where() + ": field match is empty");
        }
        StringBuilder regex = new StringBuilder();
        for (char c : text.toCharArray()) {
            regex.append(c == '*' ? ".*" : c == '?' ? "." : Pattern.quote(String.valueOf(c)));
        }
        return Pattern.compile(regex.toString(), Pattern.DOTALL);
    }

    private static int place(List<?> names, Fields f, String field) {
        return f.has(field) ? index(names, f, field, f.text(field)) : 0;
    }

    private static int index(List<?> names, Fields f, String field, String name) {
        int i = names.indexOf(name);
        if (i < 0) {
            throw new BadInput(f.where() + "." + field + " is not in the settings: " + name);
        }
        return i;
    }
}
