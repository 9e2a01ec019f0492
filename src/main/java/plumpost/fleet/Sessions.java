package plumpost.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.TreeMap;
import plumpost.fleet.Entry.Offer;
import plumpost.fleet.Entry.Verdict;

/** Who belongs to the fleet: the latest life of each scheduler, and the data directories that may never come back. */
public final class Sessions {
    /** Schedulers known at once; those that left are forgotten for newcomers, the rest is removed by command. */
    static final int MOST = 1024;
    /** Data directories remembered as removed; the oldest are forgotten first, which a thousand removals later is safe enough. */
    static final int MOST_REMOVED = 1024;

    /** What a life can be in. */
    public enum State {
        /** Heard of late. */
        ALIVE,
        /** Not heard for a while: it keeps its duties and gets no new ones. */
        SUSPECT,
        /** It ends in order: it has no duties any more and finishes what it was told to run. */
        LEAVING,
        /** Not heard for too long: its life is over. */
        LOST,
        /** It ended in order. */
        LEFT,
        /** Taken out by command. */
        REMOVED
    }

    /** One life; see {@link Entry.Join}. */
    public record Session(
            String name,
            String site,
            String disk,
            boolean vote,
            String nonce,
            int reads,
            List<Offer> offers,
            long incarnation,
            State state,
            List<String> functions) {
        /** Whether this life goes on, as far as the fleet has agreed. */
        public boolean live() {
            return state == State.ALIVE || state == State.SUSPECT || state == State.LEAVING;
        }

        Session in(State next) {
            return new Session(name, site, disk, vote, nonce, reads, offers, incarnation, next, functions);
        }

        boolean offers(String duty) {
            return offers.stream().anyMatch(o -> o.duty().equals(duty));
        }
    }

    private final TreeMap<String, Session> byName = new TreeMap<>();
    private final LinkedHashSet<String> removed = new LinkedHashSet<>();
    private long incarnations;
    private int format = 1;

    /** All, by name. */
    public Collection<Session> all() {
        return byName.values();
    }

    /** The latest life of a name, or null. */
    public Session of(String name) {
        return byName.get(name);
    }

    /** Whether just this life goes on. */
    public boolean live(String name, long incarnation) {
        Session s = byName.get(name);
        return s != null && s.incarnation == incarnation && s.live();
    }

    /** The newest record format that every scheduler reads which may still read the log. */
    public int reads() {
        return byName.values().stream()
                .filter(s -> s.state != State.REMOVED && s.state != State.LEFT)
                .mapToInt(Session::reads)
                .min()
                .orElse(format);
    }

    /** The record format that the fleet writes: it is only ever raised. */
    public int format() {
        return format;
    }

    Outcome raise(Entry.Raise r) {
        if (r.format() > reads()) {
            return Outcome.refused("record format " + r.format() + " is not read by all, " + reads() + " is");
        }
        format = Math.max(format, r.format());
        return Outcome.DONE;
    }

    Outcome join(Entry.Join j, Collection<News> news) {
        Session old = byName.get(j.name());
        if (removed.contains(j.disk())) {
            return Outcome.refused("the data directory of " + j.name()
                    + " was removed from the fleet: it starts anew on an" + " empty one");
        }
        if (j.reads() < format) {
            return Outcome.refused("the fleet writes record format " + format + ", the program of " + j.name()
                    + " reads 1 to " + j.reads() + ": it is too old");
        }
        if (old != null && old.live() && old.nonce.equals(j.nonce())) {
            return Outcome.done(old.incarnation);
        }
        if (old == null && byName.size() >= MOST && !forgetOne()) {
            return Outcome.refused("the fleet has " + MOST + " schedulers");
        }
        Session s = new Session(
                j.name(),
                j.site(),
                j.disk(),
                j.vote(),
                j.nonce(),
                j.reads(),
                List.copyOf(j.offers()),
                ++incarnations,
                State.ALIVE,
                List.of());
        if (old != null && old.live()) {
            news.add(new News.Changed(old.in(State.LOST), old.state));
        }
        byName.put(s.name, s);
        news.add(new News.Changed(s, null));
        return Outcome.done(s.incarnation);
    }

    private boolean forgetOne() {
        return byName.values().removeIf(s -> s.state == State.LEFT || s.state == State.REMOVED);
    }

    Outcome judge(Entry.Judge j, long term, Collection<News> news) {
        if (j.term() != term) {
            return Outcome.refused("term " + j.term() + " is over");
        }
        if (!live(j.name(), j.incarnation())) {
            return Outcome.refused("no such life");
        }
        if (j.verdict() == Verdict.LOST) {
            change(j.name(), State.LOST, news);
        } else if (byName.get(j.name()).state != State.LEAVING) {
            change(j.name(), j.verdict() == Verdict.ALIVE ? State.ALIVE : State.SUSPECT, news);
        }
        return Outcome.DONE;
    }

    Outcome leave(Entry.Leave l, Collection<News> news) {
        if (live(l.name(), l.incarnation())) {
            change(l.name(), l.last() ? State.LEFT : State.LEAVING, news);
        }
        return Outcome.DONE;
    }

    Outcome remove(Entry.Remove r, Collection<News> news) {
        Session s = byName.get(r.name());
        if (s == null) {
            return Outcome.refused("no scheduler " + r.name() + " is known");
        }
        if (s.state != State.REMOVED) {
            if (removed.size() >= MOST_REMOVED) {
                removed.remove(removed.iterator().next());
            }
            removed.add(s.disk);
            change(r.name(), State.REMOVED, news);
        }
        return Outcome.DONE;
    }

    Outcome serves(Entry.Serves s, Collection<News> news) {
        Session old = byName.get(s.name());
        if (!live(s.name(), s.incarnation())) {
            return Outcome.refused("no such life");
        }
        byName.put(
                old.name,
                new Session(
                        old.name,
                        old.site,
                        old.disk,
                        old.vote,
                        old.nonce,
                        old.reads,
                        old.offers,
                        old.incarnation,
                        old.state,
                        List.copyOf(s.functions())));
        news.add(new News.Changed(byName.get(old.name), old.state));
        return Outcome.DONE;
    }

    private void change(String name, State to, Collection<News> news) {
        Session old = byName.get(name);
        if (old.state != to) {
            byName.put(name, old.in(to));
            news.add(new News.Changed(old.in(to), old.state));
        }
    }

    /** What a snapshot keeps of it. */
    public record Image(List<Session> sessions, List<String> removed, long incarnations, int format) {}

    Image image() {
        return new Image(new ArrayList<>(byName.values()), new ArrayList<>(removed), incarnations, format);
    }

    static Sessions of(Image image) {
        Sessions s = new Sessions();
        image.sessions.forEach(x -> s.byName.put(x.name, x));
        s.removed.addAll(image.removed);
        s.incarnations = image.incarnations;
        s.format = image.format;
        return s;
    }
}
