package plumpost.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import plumpost.fleet.Sessions.Session;

/**
 * The orders that no scheduler holds, as one scheduler sees them: those that can be claimed, by priority, and those whose start
 * time has not come.
 */
final class FreeOrders {
    private final Member member;
    private final TreeMap<Integer, Set<String>> dueByPriority = new TreeMap<>(Comparator.reverseOrder());
    /** The orders whose start time had not come when they were last looked at. */
    private final ScheduledOrders scheduled = new ScheduledOrders();

    private final Map<String, Double> pausedUntil = new HashMap<>();

    FreeOrders(Member member) {
        this.member = member;
    }

    void clear() {
        dueByPriority.clear();
        scheduled.clear();
    }

    /** Adds or removes an order. */
    void set(Orders.Order order, boolean isFree) {
        boolean isDue = order.startMs() <= member.unixTimeMs();
        scheduled.set(order, isFree && !isDue);
        Set<String> samePriority = dueByPriority.get(order.priority());
        if (isFree && isDue) {
            addDue(order);
        } else if (samePriority != null) {
            samePriority.remove(order.id());
        }
    }

    private void addDue(Orders.Order order) {
        dueByPriority
                .computeIfAbsent(order.priority(), priority -> new LinkedHashSet<>())
                .add(order.id());
    }

    /** Does not select an order for a while. */
    void pause(String id, double durationMs) {
        pausedUntil.put(id, member.nowMs() + durationMs);
    }

    /** Returns the handles of the orders whose start time has not come. */
    List<String> scheduledIds() {
        return scheduled.ids();
    }

    /**
     * Returns the orders that this scheduler is to claim, the most urgent and then the oldest first, up to a number. The
     * schedulers that have workers for a function take turns, so that each claims its share.
     */
    List<String> select(int maxCount, Collection<String> functions) {
        scheduled.removeDue(member.unixTimeMs()).forEach(this::addDue);
        double nowMs = member.nowMs();
        pausedUntil.values().removeIf(until -> until <= nowMs);
        Map<String, Integer> positions = new HashMap<>();
        List<String> ids = new ArrayList<>();
        for (Set<String> candidates : dueByPriority.values()) {
            for (String id : candidates) {
                Orders.Order order = member.state().orders().find(id);
                if (ids.size() >= maxCount || !functions.contains(order.function()) || pausedUntil.containsKey(id)) {
                    continue;
                }
                List<String> eligible = eligibleSchedulers(order.function());
                int position = positions.merge(order.function(), 1, Integer::sum) - 1;
                if (!eligible.isEmpty()
                        && eligible.get(position % eligible.size()).equals(member.name())) {
                    ids.add(id);
                }
                if (position > maxCount * (eligible.size() + 1)) {
                    break;
                }
            }
        }
        return ids;
    }

    private List<String> eligibleSchedulers(String function) {
        return member.state().sessions().all().stream()
                .filter(session -> session.state() == Sessions.State.ALIVE
                        && session.functions().contains(function))
                .map(Session::name)
                .toList();
    }
}
