package plumpost.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import plumpost.fleet.PlannedJobs.Job;
import plumpost.fleet.PlannedJobs.State;
import plumpost.fleet.Sessions.Session;
import plumpost.peers.Fleet;
import plumpost.peers.Host;

/**
 * Planned jobs at one scheduler: as owner of the schedule it assigns due jobs to sessions that have workers for them; a
 * job that is assigned to itself it begins in the log, hands in once it has seen that entry applied, and records its end.
 */
final class ScheduleRunner {
    /** Maximum number of jobs that are fired and not begun, and of open jobs of one session; further ones wait. */
    private static final int MAX_FIRED = 256;

    private static final int MAX_JOBS_PER_SESSION = 1024;
    /** After it could not take a job, this scheduler begins no other for this long. */
    private static final double FULL_PAUSE_MS = 1000;

    private final Member member;
    private final Host host;
    private final TreeSet<Job> waiting =
            new TreeSet<>(Comparator.comparingDouble(Job::startMs).thenComparing(Job::id));
    private final Map<String, Job> openJobs = new LinkedHashMap<>();
    private final Map<String, Job> ownJobs = new LinkedHashMap<>();
    /** Open jobs by scheduler: those that the log shows, and those whose entries are proposed. */
    private final Map<String, Integer> load = new HashMap<>();

    private final Map<String, Integer> pendingLoad = new HashMap<>();
    private final Set<String> handedOut = new HashSet<>();
    private final Map<String, Boolean> pendingEnds = new LinkedHashMap<>();
    /** Jobs whose {@link Entry.Begin} is proposed and not applied: the log may still show that they are begun here. */
    private final Set<String> beginning = new HashSet<>();

    private double fullUntilMs;
    private int firedCount;

    ScheduleRunner(Member member, Host host) {
        this.member = member;
        this.host = host;
    }

    /** Rebuilds its indexes from the replicated state. */
    void rebuild() {
        waiting.clear();
        openJobs.clear();
        ownJobs.clear();
        load.clear();
        firedCount = 0;
        member.state().plannedJobs().all().forEach(this::changed);
        beginning.retainAll(ownJobs.keySet());
    }

    /** Handles a change of a job. */
    void changed(Job job) {
        Job previous = openJobs.remove(job.id());
        if (previous != null) {
            waiting.remove(previous);
            ownJobs.remove(previous.id());
            firedCount -= previous.state() == State.FIRED ? 1 : 0;
            load.merge(previous.target(), -1, Integer::sum);
        }
        if (job.state() != State.FIRED
                || !job.target().equals(member.name())
                || job.incarnation() != member.incarnation()) {
            beginning.remove(job.id());
        }
        if (job.state() != State.ENDED) {
            openJobs.put(job.id(), job);
            load.merge(job.target(), 1, Integer::sum);
            firedCount += job.state() == State.FIRED ? 1 : 0;
            if (job.state() == State.WAITING) {
                waiting.add(job);
                withdrawIfAbandoned(job);
            } else if (job.target().equals(member.name())) {
                ownJobs.put(job.id(), job);
            }
        }
    }

    /** Cancels a job whose client was told that the outcome is not known, and may have submitted it again. */
    private void withdrawIfAbandoned(Job job) {
        if (member.isAbandoned(job.id())
                && member.proposeOnce("withdraw " + job.id(), new Entry.CallOff(job.id()), outcome -> {})) {
            member.count("jobs_withdrawn");
        }
    }

    /** Handles the end of its session: recalls jobs that no worker has; the end of a job is no longer recorded from here. */
    void sessionEnded() {
        handedOut.forEach(host::callBack);
        handedOut.clear();
        pendingEnds.clear();
        beginning.clear();
    }

    /**
     * Whether no job of this session is begun or about to begin: a session that left earlier would have such a job given
     * up.
     */
    boolean finished() {
        return handedOut.isEmpty()
                && pendingEnds.isEmpty()
                && beginning.isEmpty()
                && ownJobs.values().stream()
                        .noneMatch(job -> job.state() == State.BEGUN && job.incarnation() == member.incarnation());
    }

    /** A job that was handed in here has ended, or comes back unstarted. */
    void ended(String id, boolean unstarted) {
        if (handedOut.contains(id)) {
            if (unstarted) {
                member.logLine("returns " + id + " unstarted");
            }
            pendingEnds.put(id, unstarted);
            poll();
        }
    }

    /** Assigns due jobs if it owns the schedule, and moves its own jobs on. */
    void poll() {
        if (member.fence(FleetState.SCHEDULE) > 0) {
            fireDue();
        }
        if (!member.sessionActive()) {
            return;
        }
        for (Job job : new ArrayList<>(ownJobs.values())) {
            if (job.incarnation() != member.incarnation()) {
                continue;
            }
            if (job.state() == State.FIRED && member.nowMs() >= fullUntilMs && member.mayAct()) {
                if (member.proposeOnce(
                        "begin " + job.id(),
                        new Entry.Begin(job.id(), member.name(), member.incarnation()),
                        outcome -> {})) {
                    beginning.add(job.id());
                }
            } else if (job.state() == State.BEGUN
                    && !handedOut.contains(job.id())
                    && !pendingEnds.containsKey(job.id())) {
                if (member.stopping()) {
                    pendingEnds.put(job.id(), true); // begun during the shutdown: no worker has it, so it is returned
                } else {
                    handOut(job);
                }
            }
        }
        for (String id : new ArrayList<>(pendingEnds.keySet())) {
            Job job = ownJobs.get(id);
            if (job == null || job.incarnation() != member.incarnation() || job.state() != State.BEGUN) {
                pendingEnds.remove(id); // recorded
                handedOut.remove(id);
            } else {
                member.proposeOnce(
                        "end " + id,
                        new Entry.End(id, member.name(), member.incarnation(), pendingEnds.get(id)),
                        outcome -> {});
            }
        }
    }

    /** Submits a job, which uses up this session's right to run it; checks the lease once more right before. */
    private void handOut(Job job) {
        if (!member.mayAct()) {
            return;
        }
        handedOut.add(job.id());
        if (host.run(
                new Fleet.Job(job.id(), job.function(), job.unique(), job.body(), job.startMs(), job.repeatable()))) {
            member.count("handed_out");
            member.logLine(
                    "runs " + job.id() + " as incarnation " + job.incarnation() + ", fired under fence " + job.fence());
        } else {
            handedOut.remove(job.id());
            pendingEnds.put(job.id(), true);
            fullUntilMs = member.nowMs() + FULL_PAUSE_MS;
            member.count("handed_back");
            member.logLine("cannot take " + job.id() + " now: it is returned to the schedule");
        }
    }

    /** Returns the jobs that are due, and those that are assigned to a session that may never begin them. */
    private List<Job> due() {
        double nowMs = member.unixTimeMs();
        List<Job> jobs = new ArrayList<>();
        if (member.state().sessions().all().stream()
                .anyMatch(session -> session.live() && session.state() != Sessions.State.ALIVE)) {
            openJobs.values().stream()
                    .filter(job -> PlannedJobs.isStalled(job, member.state().sessions()))
                    .forEach(jobs::add);
        }
        for (Job job : waiting) {
            if (job.startMs() > nowMs || jobs.size() >= MAX_FIRED) {
                break;
            }
            jobs.add(job);
        }
        return jobs;
    }

    private void fireDue() {
        int proposed = 0;
        for (Job job : due()) {
            if (firedCount + proposed >= MAX_FIRED && job.state() == State.WAITING) {
                return;
            }
            Session target = selectTarget(job.function());
            if (target != null
                    && member.proposeOnce(
                            "fire " + job.id(),
                            new Entry.Fire(
                                    job.id(), member.fence(FleetState.SCHEDULE), target.name(), target.incarnation()),
                            outcome -> pendingLoad.merge(target.name(), -1, Integer::sum))) {
                proposed++;
                pendingLoad.merge(target.name(), 1, Integer::sum); // spreads jobs that are due together
            }
        }
    }

    /** Returns the least loaded session that has workers for a function, or null if there is none. */
    private Session selectTarget(String function) {
        List<Session> candidates = member.state().sessions().all().stream()
                .filter(session -> session.state() == Sessions.State.ALIVE
                        && session.functions().contains(function)
                        && totalLoad(session) < MAX_JOBS_PER_SESSION)
                .toList();
        return candidates.stream()
                .min(Comparator.comparing(this::totalLoad).thenComparing(Session::name))
                .orElse(null);
    }

    private int totalLoad(Session session) {
        return load.getOrDefault(session.name(), 0) + pendingLoad.getOrDefault(session.name(), 0);
    }
}
