package plumpost.lab.script;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** The conformance suite: its cases, and what came of playing them, by packet type and admin line. */
public final class Conformance {
    /** The suite's files, beside this class's resources. */
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

    /** What came of one case: null words where it holds. */
    public record Result(Script.Case example, String failure) {}

    private Conformance() {}

    /** All cases, for the set-ups that are wanted. */
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
        all.removeIf(c -> !on.test(c.on()));
        return all;
    }

    /** Plays one case on a rig; functions and keys of their own keep it apart from other cases on the same server. */
    public static Result play(Script.Case c, Rig rig, double patienceMs, String mark) {
        Player player = new Player(
                rig,
                patienceMs,
                Map.of(
                        "f",
                        "plan-" + mark,
                        "g",
                        "plan2-" + mark,
                        "order",
                        "order-" + mark,
                        "u",
                        "u-" + mark,
                        "none",
                        "unheard-of"));
        try {
            c.steps().forEach(player::play);
            return new Result(c, null);
        } catch (Player.Failed e) {
            return new Result(c, e.getMessage());
        }
    }

    /** A table: a line for each packet type and admin line, how many cases cover it and how many hold. */
    public static String table(List<Result> results) {
        Map<String, int[]> rows = new TreeMap<>();
        for (Result r : results) {
            for (String topic : r.example().covers().stream()
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
