package plumpost.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import plumpost.fleet.Orders.Order;

/** Orders that wait for their start time, the earliest first. */
final class ScheduledOrders {
    private final TreeSet<Order> byStart =
            new TreeSet<>(Comparator.comparingDouble(Order::startMs).thenComparing(Order::id));
    private final Map<String, Order> byId = new HashMap<>();

    /** Adds or removes an order. */
    void set(Order order, boolean waits) {
        Order previous = byId.remove(order.id());
        if (previous != null) {
            byStart.remove(previous);
        }
        if (waits) {
            byId.put(order.id(), order);
            byStart.add(order);
        }
    }

    /** Removes and returns the orders that start at the given Unix time or before. */
    List<Order> removeDue(double unixMs) {
        List<Order> due = new ArrayList<>();
        while (!byStart.isEmpty() && byStart.first().startMs() <= unixMs) {
            Order order = byStart.pollFirst();
            byId.remove(order.id());
            due.add(order);
        }
        return due;
    }

    /** Returns the handles of all orders, the earliest first. */
    List<String> ids() {
        return byStart.stream().map(Order::id).toList();
    }

    void clear() {
        byStart.clear();
        byId.clear();
    }
}
