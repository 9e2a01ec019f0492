package plumpost.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import plumpost.fleet.Sessions.Session;

/**
 * What the fleet has agreed on: a deterministic state machine over the log's entries, without I/O and without a clock.
 * Equal entries in equal order make equal books everywhere. An act on behalf of the fleet is judged here, at the moment
 * at which it is applied, by its fence and by the life that it is of; no clock is asked.
 */
public final class FleetBook {
    /** The duty under which planned jobs are started. */
    public static final String SCHEDULE = "schedule";
    /** The duty under which orders are given up and forgotten. */
    public static final String LEDGER = "ledger";
    /** Begins the names of the duties under which discovery is asked; the site follows. */
    public static final String DISCOVERY = "discovery/";
    /** Route nodes out by hand at once. */
    static final int MOST_BANS = 8192;
    /** Changes of a node list kept behind its whole: then the owner tells the whole again. */
    static final int MOST_CHANGES = 64;

    private Sessions sessions = new Sessions();
    private Duties duties = new Duties();
    private Plans plans = new Plans();
    private Orders orders = new Orders();
    private final TreeSet<String> bans = new TreeSet<>();
    /** Discovery's latest whole list and what was told since, by duty. */
    private final TreeMap<String, List<Entry.Word>> words = new TreeMap<>();

    /** Applies an entry of a term of the log; what it changed is added to the news. */
    public Outcome apply(Entry e, long term, Collection<News> news) {
        Outcome o = applied(e, term, news);
        if (!o.done()) {
            news.add(new News.Refused(e, o.words()));
        }
        return o;
    }

    private Outcome applied(Entry e, long term, Collection<News> news) {
        if (e instanceof Entry.Join j) {
            Session before = sessions.of(j.name());
            Outcome o = sessions.join(j, news);
            if (o.done()) {
                duties.offered(j.offers());
                if (before != null && before.incarnation() != o.number()) {
                    plans.lost(before.name(), before.incarnation(), news);
                    orders.lost(before.name(), before.incarnation(), news);
                }
                duties.settle(sessions, news);
            }
            return o;
        } else if (e instanceof Entry.Judge j) {
            return after(j.name(), sessions.judge(j, term, news), news);
        } else if (e instanceof Entry.Leave l) {
            return after(l.name(), sessions.leave(l, news), news);
        } else if (e instanceof Entry.Remove r) {
            return after(r.name(), sessions.remove(r, news), news);
        } else if (e instanceof Entry.Serves s) {
            return sessions.serves(s, news);
        } else if (e instanceof Entry.Raise r) {
            return sessions.raise(r);
        } else if (e instanceof Entry.Yield y) {
            return duties.yield(y, sessions, news);
        } else if (e instanceof Entry.Ban b) {
            return ban(b, news);
        } else if (e instanceof Entry.Word w) {
            return word(w, news);
        } else if (e instanceof Entry.Plan p) {
            return plans.plan(p, news);
        } else if (e instanceof Entry.Fire f) {
            return plans.fire(f, duties.wrong(SCHEDULE, f.fence()), sessions, news);
        } else if (e instanceof Entry.Begin b) {
            return plans.begin(b, sessions, news);
        } else if (e instanceof Entry.End x) {
            return plans.end(x, news);
        } else if (e instanceof Entry.CallOff c) {
            return plans.callOff(c, news);
        } else if (e instanceof Entry.Take t) {
            return orders.take(t, sessions, news);
        } else if (e instanceof Entry.Told t) {
            return orders.event(t, sessions, news);
        } else if (e instanceof Entry.Claim c) {
            return orders.claim(c, sessions, news);
        } else if (e instanceof Entry.Release r) {
            return orders.release(r, news);
        } else {
            Entry.Settle s = (Entry.Settle) e;
            String why = duties.wrong(LEDGER, s.fence());
            return why == null ? orders.settle(s, news) : Outcome.refused(why);
        }
    }

    private Outcome after(String name, Outcome o, Collection<News> news) {
        Session s = sessions.of(name);
        if (o.done() && s != null) {
            if (!s.live()) {
                plans.lost(name, s.incarnation(), news);
                orders.lost(name, s.incarnation(), news);
            } else if (s.state() == Sessions.State.LEAVING) {
                orders.leaving(name, s.incarnation(), news);
            }
            duties.settle(sessions, news);
        }
        return o;
    }

    private Outcome ban(Entry.Ban b, Collection<News> news) {
        if (b.out() && bans.size() >= MOST_BANS && !bans.contains(b.node())) {
            return Outcome.refused(MOST_BANS + " route nodes are out by hand already");
        }
        if (b.out() ? bans.add(b.node()) : bans.remove(b.node())) {
            news.add(new News.Banned(b.node(), b.out()));
        }
        return Outcome.DONE;
    }

    private Outcome word(Entry.Word w, Collection<News> news) {
        String why = duties.wrong(w.duty(), w.fence());
        if (why != null) {
            return Outcome.refused(why);
        }
        List<Entry.Word> told = words.computeIfAbsent(w.duty(), d -> new ArrayList<>());
        if (w.whole()) {
            told.clear();
        } else if (told.isEmpty() || told.size() > MOST_CHANGES) {
            return Outcome.refused("the whole list of " + w.duty() + " is to be told before this change");
        }
        if (w.whole() || !w.text().isEmpty()) {
            told.add(w);
        }
        news.add(new News.Told(w));
        return Outcome.DONE;
    }

    /** Who belongs to the fleet. */
    public Sessions sessions() {
        return sessions;
    }

    /** Who does what. */
    public Duties duties() {
        return duties;
    }

    /** Jobs that wait for their time. */
    public Plans plans() {
        return plans;
    }

    /** Covered orders. */
    public Orders orders() {
        return orders;
    }

    /** Route nodes out by hand. */
    public Collection<String> bans() {
        return bans;
    }

    /** What discovery told under a duty: a whole list and the changes since; empty before its first word. */
    public List<Entry.Word> words(String duty) {
        return List.copyOf(words.getOrDefault(duty, List.of()));
    }

    /** All of it, for a snapshot. */
    public record Image(
            Sessions.Image sessions,
            Duties.Image duties,
            Plans.Image plans,
            List<String> bans,
            List<Entry.Word> words,
            Orders.Image orders) {}

    /** What a snapshot keeps. */
    public Image image() {
        List<Entry.Word> all = new ArrayList<>();
        words.values().forEach(all::addAll);
        return new Image(sessions.image(), duties.image(), plans.image(), new ArrayList<>(bans), all, orders.image());
    }

    /** Puts a snapshot's content in place of what is here. */
    public void restore(Image image) {
        sessions = Sessions.of(image.sessions);
        duties = Duties.of(image.duties);
        plans = Plans.of(image.plans);
        orders = Orders.of(image.orders);
        bans.clear();
        bans.addAll(image.bans);
        words.clear();
        image.words.forEach(
                w -> words.computeIfAbsent(w.duty(), d -> new ArrayList<>()).add(w));
    }
}
