package plumpost.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Jobs that the fleet starts at a given time, whichever scheduler accepted them. Starting one is an action with outside
 * effects, so it takes three entries: {@link Entry.Fire} by the schedule's owner is the intent, {@link Entry.Begin} is
 * the right to hand the job out, granted once to one session and used up by being granted, and {@link Entry.End} is the
 * record. When a session ends, a job that is fired and not begun goes to another session; a job that it had begun starts
 * again if it is repeatable, otherwise it is given up, since it may have run.
 */
public final class PlannedJobs {
    /** Maximum number of jobs, and of bytes of their bodies; what exceeds them is refused, and nothing is dropped. */
    static final int MAX_JOBS = 100_000;

    static final long MAX_BYTES = 64L << 20;
    /** Maximum number of given-up jobs that are remembered for {@code fleet show}. */
    static final int MAX_GIVEN_UP = 256;

    /** The states of a planned job. */
    public enum State {
        /** It waits for its time, or for a session that has workers for it. */
        WAITING,
        /** It is assigned to a session that has not begun it. */
        FIRED,
        /** It may have run. */
        BEGUN,
        /** It is over. */
        ENDED
    }

    /** A planned job; {@code attempts} counts how often it was begun. */
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

    /** All jobs that are not over, in the order in which they were planned. */
    public Collection<Job> all() {
        return byId.values();
    }

    /** Returns the job with this id if it is not over, otherwise null. */
    public Job find(String id) {
        return byId.get(id);
    }

    /** Returns the open job with this function and client's key, or null. */
    public Job findByKey(String function, String unique) {
        return byId.get(byKey.getOrDefault(key(function, unique), ""));
    }

    /** Ids of the last jobs that were given up because they may have run. */
    public List<String> givenUp() {
        return List.copyOf(givenUp);
    }

    /** The number of jobs that are over, including those given up. */
    public long ended() {
        return endedCount;
    }

    private static String key(String function, String unique) {
        return function + '\0' + unique;
    }

    Outcome plan(Entry.Plan command, Collection<FleetEvent> events) {
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
        events.add(new FleetEvent.JobChanged(job));
        return new Outcome(true, 0, job.id);
    }

    Outcome fire(Entry.Fire command, String fenceError, Sessions sessions, Collection<FleetEvent> events) {
        Job job = byId.get(command.id());
        if (fenceError != null) {
            return Outcome.refused(fenceError);
        }
        if (job == null || job.state != State.WAITING && !isStalled(job, sessions)) {
            return Outcome.refused(
                    "job " + command.id() + " is " + (job == null ? "over" : job.state + " at " + job.target));
        }
        if (!sessions.live(command.target(), command.incarnation())
                || sessions.find(command.target()).state() == Sessions.State.LEAVING) {
            return Outcome.refused("no such session as " + command.target() + "#" + command.incarnation());
        }
        update(job.withState(State.FIRED, command.target(), command.incarnation(), command.fence()), events);
        return Outcome.DONE;
    }

    /**
     * Whether a job is assigned to a session that is not alive and may never begin it; since it has not begun, it may be
     * assigned to another.
     */
    static boolean isStalled(Job job, Sessions sessions) {
        return job.state == State.FIRED && sessions.find(job.target).state() != Sessions.State.ALIVE;
    }

    Outcome begin(Entry.Begin command, Sessions sessions, Collection<FleetEvent> events) {
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

    Outcome end(Entry.End command, Collection<FleetEvent> events) {
        Job job = byId.get(command.id());
        if (job == null
                || job.state != State.BEGUN
                || !job.target.equals(command.target())
                || job.incarnation != command.incarnation()) {
            return Outcome.refused(
                    "job " + command.id() + (job == null ? " is over" : " does not belong to this session"));
        }
        if (command.unstarted()) {
            update(job.withState(State.WAITING, "", 0, 0), events);
        } else {
            finish(job, events);
        }
        return Outcome.DONE;
    }

    Outcome callOff(Entry.CallOff command, Collection<FleetEvent> events) {
        Job job = byId.get(command.id());
        if (job == null || job.state != State.WAITING) {
            return Outcome.refused("job " + command.id() + (job == null ? " is over" : " is " + job.state));
        }
        finish(job, events);
        return Outcome.DONE;
    }

    /** Handles the end of a session: fired jobs wait again, begun ones wait again if repeatable and are given up if not. */
    void sessionLost(String name, long incarnation, Collection<FleetEvent> events) {
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

    private void update(Job job, Collection<FleetEvent> events) {
        byId.put(job.id, job);
        events.add(new FleetEvent.JobChanged(job));
    }

    private void finish(Job job, Collection<FleetEvent> events) {
        byId.remove(job.id);
        byKey.remove(key(job.function, job.unique), job.id);
        bodyBytes -= job.body.length;
        endedCount++;
        events.add(new FleetEvent.JobChanged(job.withState(State.ENDED, job.target, job.incarnation, job.fence)));
    }

    /** The part of a snapshot that holds the planned jobs. */
    public record Snapshot(List<Job> jobs, List<String> givenUp, long ended) {}

    Snapshot snapshot() {
        return new Snapshot(new ArrayList<>(byId.values()), new ArrayList<>(givenUp), endedCount);
    }

    static PlannedJobs fromSnapshot(Snapshot snapshot) {
        PlannedJobs restored = new PlannedJobs();
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
