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
 * Who does what on behalf of the fleet: one owner a duty, each time under a higher fence. Owners stay (sticky) while
 * they live; a duty of a site goes to a scheduler of that site while there is one, else to who has fewest; it moves from
 * a live owner only to its site, or to one with at least two duties fewer.
 */
public final class Duties {
    /** Named duties at once. */
    static final int MAX_DUTIES = 1024;

    /** A duty: {@code owner} is empty while nobody can take it; the fence then names the last ownership. */
    public record Duty(String name, String site, String owner, long incarnation, long fence) {
        /** Whether this life owns it under this fence. */
        public boolean ownedBy(String memberName, long ownerIncarnation, long ownerFence) {
            return owner.equals(memberName) && incarnation == ownerIncarnation && fence == ownerFence;
        }
    }

    private final TreeMap<String, Duty> byName = new TreeMap<>();
    private long lastFence;

    /** All, by name. */
    public Collection<Duty> all() {
        return byName.values();
    }

    /** A duty, or null. */
    public Duty find(String name) {
        return byName.get(name);
    }

    /** Adds the duties that a newcomer can take. */
    void addOffered(Collection<Offer> offers) {
        for (Offer offer : offers) {
            if (byName.size() < MAX_DUTIES) {
                byName.putIfAbsent(offer.duty(), new Duty(offer.duty(), offer.site(), "", 0, 0));
            }
        }
    }

    /** Why an act under a fence is not the owner's, or null where it is. */
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

    /** The owner passes it on, to another where there is one. */
    Outcome yield(Entry.Yield command, Sessions sessions, Collection<News> events) {
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

    /** After each change of membership: every duty that can have an owner gets one, and the load is levelled. */
    void reassign(Sessions sessions, Collection<News> events) {
        for (Duty duty : List.copyOf(byName.values())) {
            if (!hasActiveOwner(duty, sessions)) {
                Session next = bestCandidate(duty, sessions, "");
                if (next != null) {
                    assign(duty, next, events);
                } else if (!duty.owner.isEmpty()) {
                    byName.put(duty.name, new Duty(duty.name, duty.site, "", 0, duty.fence));
                    events.add(new News.OwnerChanged(byName.get(duty.name), duty.owner));
                }
            }
        }
        for (Duty duty : List.copyOf(byName.values())) {
            Session next = duty.owner.isEmpty() ? null : bestCandidate(duty, sessions, duty.owner);
            if (next != null) {
                boolean movesToSite = !atSite(duty, sessions.of(duty.owner)) && atSite(duty, next);
                boolean leavesSite = atSite(duty, sessions.of(duty.owner)) && !atSite(duty, next);
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
                && sessions.of(duty.owner).state() != State.LEAVING
                && sessions.of(duty.owner).offers(duty.name);
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
        byName.values().forEach(x -> loads.merge(x.owner, 1, Integer::sum));
        return sessions.all().stream()
                .filter(session ->
                        session.state() == State.ALIVE && !session.name().equals(excluded) && session.offers(duty.name))
                .min(Comparator.comparing((Session session) -> !atSite(duty, session))
                        .thenComparing(session -> loads.getOrDefault(session.name(), 0))
                        .thenComparing(Session::name))
                .orElse(null);
    }

    private void assign(Duty duty, Session to, Collection<News> events) {
        Duty next = new Duty(duty.name, duty.site, to.name(), to.incarnation(), ++lastFence);
        byName.put(duty.name, next);
        events.add(new News.OwnerChanged(next, duty.owner));
    }

    /** What a snapshot keeps of it. */
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
