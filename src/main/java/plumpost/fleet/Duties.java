package plumpost.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import plumpost.fleet.Entry.Offer;
import plumpost.fleet.Sessions.Session;
import plumpost.fleet.Sessions.State;

/**
 * The duties of the fleet and their owners. A duty has one owner at a time, and each ownership has a higher fence than
 * the one before. Assignments are sticky: a duty stays with its owner while the owner's session runs. A duty of a site
 * goes to a scheduler of that site if there is one, otherwise to the scheduler with the fewest duties. It leaves a live
 * owner only for its own site, or for a scheduler that has at least two duties fewer.
 */
public final class Duties {
    /** Maximum number of duties; further offers are ignored. */
    static final int MAX_DUTIES = 1024;

    /** A duty; {@code owner} is empty while no scheduler can own it, and the fence is then that of the last ownership. */
    public record Duty(String name, String site, String owner, long incarnation, long fence) {
        /** Whether this session owns the duty under this fence. */
        public boolean ownedBy(String memberName, long ownerIncarnation, long ownerFence) {
            return owner.equals(memberName) && incarnation == ownerIncarnation && fence == ownerFence;
        }
    }

    private final TreeMap<String, Duty> byName = new TreeMap<>();
    private long lastFence;

    /** All duties, by name. */
    public Collection<Duty> all() {
        return byName.values();
    }

    /** Returns a duty by its name, or null. */
    public Duty find(String name) {
        return byName.get(name);
    }

    /** Adds the duties that a new session offers to own. */
    void addOffered(Collection<Offer> offers) {
        for (Offer offer : offers) {
            if (byName.size() < MAX_DUTIES) {
                byName.putIfAbsent(offer.duty(), new Duty(offer.duty(), offer.site(), "", 0, 0));
            }
        }
    }

    /** Returns why an action under this fence is not the current owner's, or null if it is. */
    String fenceError(String dutyName, long fence) {
        Duty duty = byName.get(dutyName);
        return duty == null
                ? "no duty " + dutyName
                : duty.owner.isEmpty()
                        ? dutyName + " has no owner"
                        : duty.fence == fence
                                ? null
                                : "fence " + fence + " of " + dutyName + " is old, " + duty.fence + " holds";
    }

    /** Moves a duty from its owner to another scheduler; refused if no other can own it. */
    Outcome yield(Entry.Yield command, Sessions sessions, Collection<FleetEvent> events) {
        String refusal = fenceError(command.duty(), command.fence());
        if (refusal != null) {
            return Outcome.refused(refusal);
        }
        Duty duty = byName.get(command.duty());
        Session next = bestCandidate(duty, sessions, duty.owner);
        if (next == null) {
            return Outcome.refused("nobody else can take " + duty.name);
        }
        assign(duty, next, events);
        return Outcome.done(lastFence);
    }

    /** After a change of membership, assigns every duty that can have an owner and balances the number of duties. */
    void reassign(Sessions sessions, Collection<FleetEvent> events) {
        for (Duty duty : List.copyOf(byName.values())) {
            if (!hasActiveOwner(duty, sessions)) {
                Session next = bestCandidate(duty, sessions, "");
                if (next != null) {
                    assign(duty, next, events);
                } else if (!duty.owner.isEmpty()) {
                    byName.put(duty.name, new Duty(duty.name, duty.site, "", 0, duty.fence));
                    events.add(new FleetEvent.OwnerChanged(byName.get(duty.name), duty.owner));
                }
            }
        }
        for (Duty duty : List.copyOf(byName.values())) {
            Session next = duty.owner.isEmpty() ? null : bestCandidate(duty, sessions, duty.owner);
            if (next != null) {
                boolean movesToSite = !atSite(duty, sessions.find(duty.owner)) && atSite(duty, next);
                boolean leavesSite = atSite(duty, sessions.find(duty.owner)) && !atSite(duty, next);
                int gap = dutyCount(duty.owner) - dutyCount(next.name());
                if (movesToSite || !leavesSite && gap >= 2) {
                    assign(duty, next, events);
                }
            }
        }
    }

    private boolean hasActiveOwner(Duty duty, Sessions sessions) {
        return !duty.owner.isEmpty()
                && sessions.live(duty.owner, duty.incarnation)
                && sessions.find(duty.owner).state() != State.LEAVING
                && sessions.find(duty.owner).offers(duty.name);
    }

    private static boolean atSite(Duty duty, Session session) {
        return duty.site.isEmpty() || session.site().equals(duty.site);
    }

    private int dutyCount(String memberName) {
        return (int) byName.values().stream()
                .filter(duty -> duty.owner.equals(memberName))
                .count();
    }

    private Session bestCandidate(Duty duty, Sessions sessions, String excluded) {
        Map<String, Integer> loads = new HashMap<>();
        byName.values().forEach(other -> loads.merge(other.owner, 1, Integer::sum));
        return sessions.all().stream()
                .filter(session ->
                        session.state() == State.ALIVE && !session.name().equals(excluded) && session.offers(duty.name))
                .min(Comparator.comparing((Session session) -> !atSite(duty, session))
                        .thenComparing(session -> loads.getOrDefault(session.name(), 0))
                        .thenComparing(Session::name))
                .orElse(null);
    }

    private void assign(Duty duty, Session to, Collection<FleetEvent> events) {
        Duty next = new Duty(duty.name, duty.site, to.name(), to.incarnation(), ++lastFence);
        byName.put(duty.name, next);
        events.add(new FleetEvent.OwnerChanged(next, duty.owner));
    }

    /** The part of a snapshot that holds the duties. */
    public record Snapshot(List<Duty> duties, long lastFence) {}

    Snapshot snapshot() {
        return new Snapshot(new ArrayList<>(byName.values()), lastFence);
    }

    static Duties fromSnapshot(Snapshot snapshot) {
        Duties restored = new Duties();
        snapshot.duties.forEach(duty -> restored.byName.put(duty.name, duty));
        restored.lastFence = snapshot.lastFence;
        return restored;
    }
}
