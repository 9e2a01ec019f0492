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
 * Judges a history of a fleet by the rules alone: what was taken ran, unless it was given up; an order ran once at most;
 * a fence has one owner, whoever says so; in each process's words fences only rise; nothing got stuck.
 */
public final class FleetCheck {
    private static final Pattern OWNED =
            Pattern.compile("fleet: (\\S+) under fence (\\d+) is (\\w+)'s, incarnation (\\d+)");
    private static final Pattern NOBODY = Pattern.compile("fleet: (\\S+) under fence (\\d+) is nobody's");

    private FleetCheck() {}

    /** Who owned what, by fence, as the processes tell it; two words on one fence come apart by a blank and "and". */
    public static Map<Long, String> owners(History history) {
        Map<Long, String> all = new LinkedHashMap<>();
        for (History.Seen s : history.of("log")) {
            Matcher m = OWNED.matcher(s.words());
            if (m.find()) {
                String owner = m.group(1) + " " + m.group(3) + "#" + m.group(4);
                all.merge(Long.parseLong(m.group(2)), owner, (a, b) -> a.equals(b) ? a : a + " and " + b);
            }
        }
        return all;
    }

    /** What a history says of jobs by their keys. */
    private static Map<String, String> words(History history, String what) {
        Map<String, String> all = new HashMap<>();
        history.of(what).forEach(s -> all.put(s.words().split(" ")[0], s.words().split(" ")[1]));
        return all;
    }

    /** The rules that a history breaks, in words; {@code givenUp} are the handles of jobs of which the fleet says so. */
    public static List<String> broken(History history, Set<String> givenUp) {
        List<String> broken = new ArrayList<>();
        Map<String, Integer> runs = new HashMap<>();
        history.of("run").forEach(s -> runs.merge(s.words(), 1, Integer::sum));
        Map<String, String> handles = words(history, "handle");
        for (History.Seen s : history.of("taken")) {
            if (!runs.containsKey(s.words()) && !givenUp.contains(handles.get(s.words()))) {
                broken.add("the job " + s.words() + ", " + handles.get(s.words())
                        + ", was taken, never ran and is not given up");
            }
        }
        Map<String, String> functions = words(history, "function");
        runs.forEach((key, n) -> {
            if (n > 1 && functions.getOrDefault(key, "order").startsWith("order")) {
                broken.add("the order " + key + " ran " + n + " times");
            }
        });
        owners(history).forEach((fence, owner) -> {
            if (owner.contains(" and ")) {
                broken.add("fence " + fence + " is " + owner);
            }
        });
        Map<String, Long> last = new HashMap<>();
        for (History.Seen s : history.all()) {
            if (s.what().equals("start")) {
                last.keySet().removeIf(k -> k.startsWith(s.who() + " "));
            }
            Matcher m = OWNED.matcher(s.words());
            Matcher none = NOBODY.matcher(s.words());
            boolean owned = s.what().equals("log") && m.find();
            if (owned || s.what().equals("log") && none.find()) {
                long fence = Long.parseLong(owned ? m.group(2) : none.group(2));
                String of = s.who() + " " + (owned ? m.group(1) : none.group(1));
                Long before = last.put(of, fence);
                if (before != null && (owned ? fence <= before : fence < before)) {
                    broken.add("at " + of + " fence " + fence + " follows " + before);
                }
            }
        }
        history.of("stuck").forEach(s -> broken.add(s.who() + ": " + s.words()));
        return broken;
    }
}
