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
    static final int MOST = 1024;

    /** A duty: {@code owner} is empty while nobody can take it; the fence then names the last ownership. */
    public record Duty(String name, String site, String owner, long incarnation, long fence) {
        /** Whether this life owns it under this fence. */
        public boolean heldBy(String who, long life, long under) {
            return owner.equals(who) && incarnation == life && fence == under;
        }
    }

    private final TreeMap<String, Duty> byName = new TreeMap<>();
    private long fences;

    /** All, by name. */
    public Collection<Duty> all() {
        return byName.values();
    }

    /** A duty, or null. */
    public Duty of(String name) {
        return byName.get(name);
    }

    /** Adds the duties that a newcomer can take. */
    void offered(Collection<Offer> offers) {
        for (Offer o : offers) {
            if (byName.size() < MOST) {
                byName.putIfAbsent(o.duty(), new Duty(o.duty(), o.site(), "", 0, 0));
            }
        }
    }

    /** Why an act under a fence is not the owner's, or null where it is. */
    String wrong(String duty, long fence) {
        Duty d = byName.get(duty);
        return d == null
                ? "no duty " + duty
                : d.owner.isEmpty()
                        ? duty + " has no owner"
                        : d.fence == fence ? null : "fence " + fence + " of " + duty + " is old, " + d.fence + " holds";
    }

    /** The owner passes it on, to another where there is one. */
    Outcome yield(Entry.Yield y, Sessions sessions, Collection<News> news) {
        String why = wrong(y.duty(), y.fence());
        if (why != null) {
            return Outcome.refused(why);
        }
        Duty d = byName.get(y.duty());
        Session next = best(d, sessions, d.owner);
        if (next == null) {
            return Outcome.refused("nobody else can take " + d.name);
        }
        give(d, next, news);
        return Outcome.done(fences);
    }

    /** After each change of membership: every duty that can have an owner gets one, and the load is levelled. */
    void settle(Sessions sessions, Collection<News> news) {
        for (Duty d : List.copyOf(byName.values())) {
            if (!owned(d, sessions)) {
                Session next = best(d, sessions, "");
                if (next != null) {
                    give(d, next, news);
                } else if (!d.owner.isEmpty()) {
                    byName.put(d.name, new Duty(d.name, d.site, "", 0, d.fence));
                    news.add(new News.Owned(byName.get(d.name), d.owner));
                }
            }
        }
        for (Duty d : List.copyOf(byName.values())) {
            Session next = d.owner.isEmpty() ? null : best(d, sessions, d.owner);
            if (next != null) {
                boolean comesHome = !atHome(d, sessions.of(d.owner)) && atHome(d, next);
                boolean leavesHome = atHome(d, sessions.of(d.owner)) && !atHome(d, next);
                int gap = load(d.owner) - load(next.name());
                if (comesHome || !leavesHome && gap >= 2) {
                    give(d, next, news);
                }
            }
        }
    }

    private boolean owned(Duty d, Sessions sessions) {
        return !d.owner.isEmpty()
                && sessions.live(d.owner, d.incarnation)
                && sessions.of(d.owner).state() != State.LEAVING
                && sessions.of(d.owner).offers(d.name);
    }

    private static boolean atHome(Duty d, Session s) {
        return d.site.isEmpty() || s.site().equals(d.site);
    }

    private int load(String who) {
        return (int) byName.values().stream().filter(d -> d.owner.equals(who)).count();
    }

    private Session best(Duty d, Sessions sessions, String not) {
        Map<String, Integer> loads = new HashMap<>();
        byName.values().forEach(x -> loads.merge(x.owner, 1, Integer::sum));
        return sessions.all().stream()
                .filter(s -> s.state() == State.ALIVE && !s.name().equals(not) && s.offers(d.name))
                .min(Comparator.comparing((Session s) -> !atHome(d, s))
                        .thenComparing(s -> loads.getOrDefault(s.name(), 0))
                        .thenComparing(Session::name))
                .orElse(null);
    }

    private void give(Duty d, Session to, Collection<News> news) {
        Duty next = new Duty(d.name, d.site, to.name(), to.incarnation(), ++fences);
        byName.put(d.name, next);
        news.add(new News.Owned(next, d.owner));
    }

    /** What a snapshot keeps of it. */
    public record Image(List<Duty> duties, long fences) {}

    Image image() {
        return new Image(new ArrayList<>(byName.values()), fences);
    }

    static Duties of(Image image) {
        Duties d = new Duties();
        image.duties.forEach(x -> d.byName.put(x.name, x));
        d.fences = image.fences;
        return d;
    }
}
