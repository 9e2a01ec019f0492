package plumpost.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the history of a fleet: each accepted job ran or was given up; an order ran at most once; all processes name the
 * same owner for a fence; in the log of each process the fences of a duty only rise; no process got stuck.
 */
public final class FleetCheck {
    private static final Pattern OWNED =
            Pattern.compile("fleet: (\\S+) under fence (\\d+) is (\\w+)'s, incarnation (\\d+)");
    private static final Pattern UNOWNED = Pattern.compile("fleet: (\\S+) under fence (\\d+) is nobody's");

    private FleetCheck() {}

    /** Returns the owners that the processes logged, by fence; different owners of one fence are joined by " and ". */
    public static Map<Long, String> ownersByFence(History history) {
        Map<Long, String> all = new LinkedHashMap<>();
        for (History.Event event : history.ofKind("log")) {
            Matcher matcher = OWNED.matcher(event.text());
            if (matcher.find()) {
                String owner = matcher.group(1) + " " + matcher.group(3) + "#" + matcher.group(4);
                all.merge(Long.parseLong(matcher.group(2)), owner, (a, b) -> a.equals(b) ? a : a + " and " + b);
            }
        }
        return all;
    }

    /** Maps the key of each job to the value that events of a kind give for it. */
    private static Map<String, String> valuesByKey(History history, String kind) {
        Map<String, String> all = new HashMap<>();
        history.ofKind(kind)
                .forEach(event ->
                        all.put(event.text().split(" ")[0], event.text().split(" ")[1]));
        return all;
    }

    /** Describes each violation; {@code givenUp} holds the handles of the jobs that the fleet reports as given up. */
    public static List<String> findViolations(History history, Set<String> givenUp) {
        List<String> violations = new ArrayList<>();
        Map<String, Integer> runs = new HashMap<>();
        history.ofKind("run").forEach(event -> runs.merge(event.text(), 1, Integer::sum));
        Map<String, String> handles = valuesByKey(history, "handle");
        for (History.Event event : history.ofKind("taken")) {
            if (!runs.containsKey(event.text()) && !givenUp.contains(handles.get(event.text()))) {
                violations.add("the job " + event.text() + ", " + handles.get(event.text())
                        + ", was taken, never ran and is not given up");
            }
        }
        Map<String, String> functions = valuesByKey(history, "function");
        runs.forEach((key, n) -> {
            if (n > 1 && functions.getOrDefault(key, "order").startsWith("order")) {
                violations.add("the order " + key + " ran " + n + " times");
            }
        });
        ownersByFence(history).forEach((fence, owner) -> {
            if (owner.contains(" and ")) {
                violations.add("fence " + fence + " is " + owner);
            }
        });
        Map<String, Long> lastFences = new HashMap<>();
        for (History.Event event : history.events()) {
            if (event.kind().equals("start")) {
                lastFences.keySet().removeIf(k -> k.startsWith(event.source() + " "));
            }
            Matcher matcher = OWNED.matcher(event.text());
            Matcher unowned = UNOWNED.matcher(event.text());
            boolean owned = event.kind().equals("log") && matcher.find();
            if (owned || event.kind().equals("log") && unowned.find()) {
                long fence = Long.parseLong(owned ? matcher.group(2) : unowned.group(2));
                String dutyAtProcess = event.source() + " " + (owned ? matcher.group(1) : unowned.group(1));
                Long before = lastFences.put(dutyAtProcess, fence);
                if (before != null && (owned ? fence <= before : fence < before)) {
                    violations.add("at " + dutyAtProcess + " fence " + fence + " follows " + before);
                }
            }
        }
        history.ofKind("stuck").forEach(event -> violations.add(event.source() + ": " + event.text()));
        return violations;
    }
}
