package plumpost.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Jobs that the fleet starts at a time, whichever scheduler took them. Starting one is a deed towards the outside: the
 * owner's {@link Entry.Fire} is its intent, {@link Entry.Begin} the right to hand it out, granted once to one life and
 * used up by being granted, {@link Entry.End} its record. What is found fired and not begun goes to another life; what
 * is found begun by a life that is over is begun anew if it may run twice, and given up as may-have-run if not.
 */
public final class Plans {
    /** Jobs and bytes held at once; one more is refused, nothing is dropped. */
    static final int MOST = 100_000;

    static final long MOST_BYTES = 64L << 20;
    /** Jobs given up that are remembered for {@code fleet show}. */
    static final int MOST_GIVEN_UP = 256;

    /** Where a job is. */
    public enum State {
        /** It waits for its time or for somebody who has workers for it. */
        WAITING,
        /** A life was told to run it, and has not begun. */
        FIRED,
        /** It may have run. */
        BEGUN,
        /** It is over. */
        ENDED
    }

    /** A job; {@code tries} counts how often it was begun. */
    public record Job(
            String id,
            String function,
            String unique,
            byte[] body,
            double atMs,
            boolean again,
            State state,
            String target,
            long incarnation,
            long fence,
            int tries) {
        Job in(State next, String who, long life, long under) {
            return new Job(
                    id,
                    function,
                    unique,
                    body,
                    atMs,
                    again,
                    next,
                    who,
                    life,
                    under,
                    tries + (next == State.BEGUN ? 1 : 0));
        }
    }

    private final LinkedHashMap<String, Job> byId = new LinkedHashMap<>();
    private final Map<String, String> byKey = new HashMap<>();
    private final List<String> givenUp = new ArrayList<>();
    private long bytes;
    private long ended;

    /** All that are not over, in the order in which they were taken. */
    public Collection<Job> all() {
        return byId.values();
    }

    /** A job that is not over, or null. */
    public Job of(String id) {
        return byId.get(id);
    }

    /** The open job under a function and a client's key, or null. */
    public Job under(String function, String unique) {
        return byId.get(byKey.getOrDefault(key(function, unique), ""));
    }

    /** Ids of the last jobs given up since they may have run. */
    public List<String> givenUp() {
        return List.copyOf(givenUp);
    }

    /** How many are over, given up ones too. */
    public long ended() {
        return ended;
    }

    private static String key(String function, String unique) {
        return function + '\0' + unique;
    }

    Outcome plan(Entry.Plan p, Collection<News> news) {
        Job same = byId.get(p.id());
        same = same != null || p.unique().isEmpty() ? same : under(p.function(), p.unique());
        if (same != null) {
            return new Outcome(true, 0, same.id);
        }
        if (byId.size() >= MOST || bytes + p.body().length > MOST_BYTES) {
            return Outcome.refused("the fleet's schedule is full: " + byId.size() + " jobs, " + bytes + " bytes");
        }
        Job j = new Job(p.id(), p.function(), p.unique(), p.body(), p.atMs(), p.again(), State.WAITING, "", 0, 0, 0);
        byId.put(j.id, j);
        if (!p.unique().isEmpty()) {
            byKey.put(key(p.function(), p.unique()), j.id);
        }
        bytes += j.body.length;
        news.add(new News.Planned(j));
        return new Outcome(true, 0, j.id);
    }

    Outcome fire(Entry.Fire f, String wrongFence, Sessions sessions, Collection<News> news) {
        Job j = byId.get(f.id());
        if (wrongFence != null) {
            return Outcome.refused(wrongFence);
        }
        if (j == null || j.state != State.WAITING && !stuck(j, sessions)) {
            return Outcome.refused("job " + f.id() + " is " + (j == null ? "over" : j.state + " at " + j.target));
        }
        if (!sessions.live(f.target(), f.incarnation())
                || sessions.of(f.target()).state() == Sessions.State.LEAVING) {
            return Outcome.refused("no such life as " + f.target() + "#" + f.incarnation());
        }
        put(j.in(State.FIRED, f.target(), f.incarnation(), f.fence()), news);
        return Outcome.DONE;
    }

    /** Whether a job was given to a life that may not come to it: it has not begun it, so another may have it. */
    static boolean stuck(Job j, Sessions sessions) {
        return j.state == State.FIRED && sessions.of(j.target).state() != Sessions.State.ALIVE;
    }

    Outcome begin(Entry.Begin b, Sessions sessions, Collection<News> news) {
        Job j = byId.get(b.id());
        if (j == null
                || j.state != State.FIRED
                || !j.target.equals(b.target())
                || j.incarnation != b.incarnation()
                || !sessions.live(b.target(), b.incarnation())) {
            return Outcome.refused("job " + b.id()
                    + (j == null ? " is over" : " is " + j.state + " at " + j.target + "#" + j.incarnation));
        }
        put(j.in(State.BEGUN, j.target, j.incarnation, j.fence), news);
        return Outcome.DONE;
    }

    Outcome end(Entry.End e, Collection<News> news) {
        Job j = byId.get(e.id());
        if (j == null || j.state != State.BEGUN || !j.target.equals(e.target()) || j.incarnation != e.incarnation()) {
            return Outcome.refused("job " + e.id() + (j == null ? " is over" : " is not this life's"));
        }
        if (e.unstarted()) {
            put(j.in(State.WAITING, "", 0, 0), news);
        } else {
            over(j, news);
        }
        return Outcome.DONE;
    }

    Outcome callOff(Entry.CallOff c, Collection<News> news) {
        Job j = byId.get(c.id());
        if (j == null || j.state != State.WAITING) {
            return Outcome.refused("job " + c.id() + (j == null ? " is over" : " is " + j.state));
        }
        over(j, news);
        return Outcome.DONE;
    }

    /** A life is over: what it was told goes on elsewhere, what it had begun is begun anew or given up. */
    void lost(String name, long incarnation, Collection<News> news) {
        for (Job j : List.copyOf(byId.values())) {
            if (j.target.equals(name) && j.incarnation == incarnation) {
                if (j.state == State.FIRED || j.again) {
                    put(j.in(State.WAITING, "", 0, 0), news);
                } else {
                    if (givenUp.size() >= MOST_GIVEN_UP) {
                        givenUp.remove(0);
                    }
                    givenUp.add(j.id);
                    over(j, news);
                }
            }
        }
    }

    private void put(Job j, Collection<News> news) {
        byId.put(j.id, j);
        news.add(new News.Planned(j));
    }

    private void over(Job j, Collection<News> news) {
        byId.remove(j.id);
        byKey.remove(key(j.function, j.unique), j.id);
        bytes -= j.body.length;
        ended++;
        news.add(new News.Planned(j.in(State.ENDED, j.target, j.incarnation, j.fence)));
    }

    /** What a snapshot keeps of it. */
    public record Image(List<Job> jobs, List<String> givenUp, long ended) {}

    Image image() {
        return new Image(new ArrayList<>(byId.values()), new ArrayList<>(givenUp), ended);
    }

    static Plans of(Image image) {
        Plans p = new Plans();
        for (Job j : image.jobs) {
            p.byId.put(j.id, j);
            if (!j.unique.isEmpty()) {
                p.byKey.put(key(j.function, j.unique), j.id);
            }
            p.bytes += j.body.length;
        }
        p.givenUp.addAll(image.givenUp);
        p.ended = image.ended;
        return p;
    }
}
