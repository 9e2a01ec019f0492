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
    static final int MAX_JOBS = 100_000;

    static final long MAX_BYTES = 64L << 20;
    /** Jobs given up that are remembered for {@code fleet show}. */
    static final int MAX_GIVEN_UP = 256;

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
            double startMs,
            boolean repeatable,
            State state,
            String target,
            long incarnation,
            long fence,
            int attempts) {
        Job withState(State next, String newTarget, long newIncarnation, long newFence) {
            return new Job(
                    id,
                    function,
                    unique,
                    body,
                    startMs,
                    repeatable,
                    next,
                    newTarget,
                    newIncarnation,
                    newFence,
                    attempts + (next == State.BEGUN ? 1 : 0));
        }
    }

    private final LinkedHashMap<String, Job> byId = new LinkedHashMap<>();
    private final Map<String, String> byKey = new HashMap<>();
    private final List<String> givenUp = new ArrayList<>();
    private long bodyBytes;
    private long endedCount;

    /** All that are not over, in the order in which they were taken. */
    public Collection<Job> all() {
        return byId.values();
    }

    /** A job that is not over, or null. */
    public Job find(String id) {
        return byId.get(id);
    }

    /** The open job under a function and a client's key, or null. */
    public Job findByKey(String function, String unique) {
        return byId.get(byKey.getOrDefault(key(function, unique), ""));
    }

    /** Ids of the last jobs given up since they may have run. */
    public List<String> givenUp() {
        return List.copyOf(givenUp);
    }

    /** How many are over, given up ones too. */
    public long ended() {
        return endedCount;
    }

    private static String key(String function, String unique) {
        return function + '\0' + unique;
    }

    Outcome plan(Entry.Plan command, Collection<News> events) {
        Job existing = byId.get(command.id());
        existing = existing != null || command.unique().isEmpty()
                ? existing
                : findByKey(command.function(), command.unique());
        if (existing != null) {
            return new Outcome(true, 0, existing.id);
        }
        if (byId.size() >= MAX_JOBS || bodyBytes + command.body().length > MAX_BYTES) {
            return Outcome.refused("the fleet's schedule is full: " + byId.size() + " jobs, " + bodyBytes + " bytes");
        }
        Job job = new Job(
                command.id(),
                command.function(),
                command.unique(),
                command.body(),
                command.startMs(),
                command.repeatable(),
                State.WAITING,
                "",
                0,
                0,
                0);
        byId.put(job.id, job);
        if (!command.unique().isEmpty()) {
            byKey.put(key(command.function(), command.unique()), job.id);
        }
        bodyBytes += job.body.length;
        events.add(new News.JobChanged(job));
        return new Outcome(true, 0, job.id);
    }

    Outcome fire(Entry.Fire command, String fenceError, Sessions sessions, Collection<News> events) {
        Job job = byId.get(command.id());
        if (fenceError != null) {
            return Outcome.refused(fenceError);
        }
        if (job == null || job.state != State.WAITING && !isStalled(job, sessions)) {
            return Outcome.refused(
                    "job " + command.id() + " is " + (job == null ? "over" : job.state + " at " + job.target));
        }
        if (!sessions.live(command.target(), command.incarnation())
                || sessions.of(command.target()).state() == Sessions.State.LEAVING) {
            return Outcome.refused("no such life as " + command.target() + "#" + command.incarnation());
        }
        update(job.withState(State.FIRED, command.target(), command.incarnation(), command.fence()), events);
        return Outcome.DONE;
    }

    /** Whether a job was given to a life that may not come to it: it has not begun it, so another may have it. */
    static boolean isStalled(Job job, Sessions sessions) {
        return job.state == State.FIRED && sessions.of(job.target).state() != Sessions.State.ALIVE;
    }

    Outcome begin(Entry.Begin command, Sessions sessions, Collection<News> events) {
        Job job = byId.get(command.id());
        if (job == null
                || job.state != State.FIRED
                || !job.target.equals(command.target())
                || job.incarnation != command.incarnation()
                || !sessions.live(command.target(), command.incarnation())) {
            return Outcome.refused("job " + command.id()
                    + (job == null ? " is over" : " is " + job.state + " at " + job.target + "#" + job.incarnation));
        }
        update(job.withState(State.BEGUN, job.target, job.incarnation, job.fence), events);
        return Outcome.DONE;
    }

    Outcome end(Entry.End command, Collection<News> events) {
        Job job = byId.get(command.id());
        if (job == null
                || job.state != State.BEGUN
                || !job.target.equals(command.target())
                || job.incarnation != command.incarnation()) {
            return Outcome.refused("job " + command.id() + (job == null ? " is over" : " is not this life's"));
        }
        if (command.unstarted()) {
            update(job.withState(State.WAITING, "", 0, 0), events);
        } else {
            finish(job, events);
        }
        return Outcome.DONE;
    }

    Outcome callOff(Entry.CallOff command, Collection<News> events) {
        Job job = byId.get(command.id());
        if (job == null || job.state != State.WAITING) {
            return Outcome.refused("job " + command.id() + (job == null ? " is over" : " is " + job.state));
        }
        finish(job, events);
        return Outcome.DONE;
    }

    /** A life is over: what it was told goes on elsewhere, what it had begun is begun anew or given up. */
    void sessionLost(String name, long incarnation, Collection<News> events) {
        for (Job job : List.copyOf(byId.values())) {
            if (job.target.equals(name) && job.incarnation == incarnation) {
                if (job.state == State.FIRED || job.repeatable) {
                    update(job.withState(State.WAITING, "", 0, 0), events);
                } else {
                    if (givenUp.size() >= MAX_GIVEN_UP) {
                        givenUp.remove(0);
                    }
                    givenUp.add(job.id);
                    finish(job, events);
                }
            }
        }
    }

    private void update(Job job, Collection<News> events) {
        byId.put(job.id, job);
        events.add(new News.JobChanged(job));
    }

    private void finish(Job job, Collection<News> events) {
        byId.remove(job.id);
        byKey.remove(key(job.function, job.unique), job.id);
        bodyBytes -= job.body.length;
        endedCount++;
        events.add(new News.JobChanged(job.withState(State.ENDED, job.target, job.incarnation, job.fence)));
    }

    /** What a snapshot keeps of it. */
    public record Snapshot(List<Job> jobs, List<String> givenUp, long ended) {}

    Snapshot snapshot() {
        return new Snapshot(new ArrayList<>(byId.values()), new ArrayList<>(givenUp), endedCount);
    }

    static Plans fromSnapshot(Snapshot snapshot) {
        Plans restored = new Plans();
        for (Job job : snapshot.jobs) {
            restored.byId.put(job.id, job);
            if (!job.unique.isEmpty()) {
                restored.byKey.put(key(job.function, job.unique), job.id);
            }
            restored.bodyBytes += job.body.length;
        }
        restored.givenUp.addAll(snapshot.givenUp);
        restored.endedCount = snapshot.ended;
        return restored;
    }
}
