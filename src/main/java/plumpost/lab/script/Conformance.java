package plumpost.lab.script;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Conformance suite for the Gearman protocol: reads the cases, plays them and reports by packet type and admin line. */
public final class Conformance {
    /** Names of the script files of the suite, without their suffix. */
    private static final List<String> FILES = List.of(
            "submit",
            "priority",
            "background",
            "schedule",
            "reduce",
            "worker",
            "work",
            "unique",
            "status",
            "option",
            "admin",
            "allowed",
            "limits",
            "malformed");

    /** Result of one case; {@code failure} is null if it passed. */
    public record Result(Script.Case testCase, String failure) {}

    private Conformance() {}

    /** Returns all cases whose server setup matches. */
    public static List<Script.Case> cases(Predicate<String> on) {
        List<Script.Case> all = new ArrayList<>();
        for (String file : FILES) {
            String name = "/plumpost/lab/conformance/" + file + ".plug";
            try (InputStream in = Conformance.class.getResourceAsStream(name)) {
                all.addAll(Script.parse(file + ".plug", new String(in.readAllBytes(), StandardCharsets.UTF_8))
                        .cases());
            } catch (IOException e) {
                throw new IllegalStateException(name, e);
            }
        }
        all.removeIf(testCase -> !on.test(testCase.setup()));
        return all;
    }

    /** Plays one case; names of functions and keys end in {@code suffix}, so that cases can share a server. */
    public static Result play(Script.Case testCase, Rig rig, double patienceMs, String suffix) {
        Player player = new Player(
                rig,
                patienceMs,
                Map.of(
                        "f",
                        "plan-" + suffix,
                        "g",
                        "plan2-" + suffix,
                        "order",
                        "order-" + suffix,
                        "u",
                        "u-" + suffix,
                        "none",
                        "unheard-of"));
        try {
            testCase.steps().forEach(player::play);
            return new Result(testCase, null);
        } catch (Player.StepFailed e) {
            return new Result(testCase, e.getMessage());
        }
    }

    /** Formats a table that says for each packet type and admin line how many cases cover it and how many pass. */
    public static String table(List<Result> results) {
        Map<String, int[]> rows = new TreeMap<>();
        for (Result r : results) {
            for (String topic : r.testCase().covers().stream()
                    .map(t -> t.split("\\|")[0])
                    .distinct()
                    .toList()) {
                int[] row = rows.computeIfAbsent(topic, t -> new int[2]);
                row[0]++;
                row[1] += r.failure() == null ? 1 : 0;
            }
        }
        StringBuilder all = new StringBuilder("| packet or line | cases | hold |\n| --- | ---: | ---: |\n");
        rows.forEach((topic, n) -> all.append("| ")
                .append(topic)
                .append(" | ")
                .append(n[0])
                .append(" | ")
                .append(n[1])
                .append(" |\n"));
        long held = results.stream().filter(r -> r.failure() == null).count();
        return all.append("\n")
                .append(results.size())
                .append(" cases, ")
                .append(held)
                .append(" hold\n")
                .toString();
    }
}
