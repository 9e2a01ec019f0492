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
import plumpost.fleet.Plans.Job;
import plumpost.fleet.Plans.State;
import plumpost.fleet.Sessions.Session;
import plumpost.peers.Fleet;
import plumpost.peers.Host;

/**
 * Planned jobs at one scheduler: as owner of the schedule it gives what is due to a life that has workers for it; as the
 * one told, it begins a job in the log, hands it in once it has seen that applied, and records its end.
 */
final class ScheduleRunner {
    /** Jobs given out and not yet begun, and jobs that one life may have begun: more wait their turn. */
    private static final int MAX_FIRED = 256;

    private static final int MAX_JOBS_PER_SESSION = 1024;
    /** A life that could not take a job is not asked again for this long. */
    private static final double FULL_PAUSE_MS = 1000;

    private final Member member;
    private final Host host;
    private final TreeSet<Job> waiting =
            new TreeSet<>(Comparator.comparingDouble(Job::startMs).thenComparing(Job::id));
    private final Map<String, Job> openJobs = new LinkedHashMap<>();
    private final Map<String, Job> ownJobs = new LinkedHashMap<>();
    /** The schedule's jobs at each scheduler, as the log says, and those that it is about to say so of. */
    private final Map<String, Integer> load = new HashMap<>();

    private final Map<String, Integer> pendingLoad = new HashMap<>();
    private final Set<String> handedOut = new HashSet<>();
    private final Map<String, Boolean> pendingEnds = new LinkedHashMap<>();
    /** What it has asked to begin and that still stands as told to it: the log may yet say that it is begun here. */
    private final Set<String> beginning = new HashSet<>();

    private double fullUntilMs;
    private int firedCount;

    ScheduleRunner(Member member, Host host) {
        this.member = member;
        this.host = host;
    }

    /** Builds what it keeps anew from the view. */
    void rebuild() {
        waiting.clear();
        openJobs.clear();
        ownJobs.clear();
        load.clear();
        firedCount = 0;
        member.state().plans().all().forEach(this::changed);
        beginning.retainAll(ownJobs.keySet());
    }

    /** A job stands so now. */
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
            } else if (job.target().equals(member.name())) {
                ownJobs.put(job.id(), job);
            }
        }
    }

    /** Its life is over: what it has not handed to a worker is called back; what ends now belongs to nobody here. */
    void sessionEnded() {
        handedOut.forEach(host::callBack);
        handedOut.clear();
        pendingEnds.clear();
        beginning.clear();
    }

    /** Whether nothing is left here that it was told to run, nor on its way: a life that leaves first gives that up. */
    boolean finished() {
        return handedOut.isEmpty()
                && pendingEnds.isEmpty()
                && beginning.isEmpty()
                && ownJobs.values().stream()
                        .noneMatch(job -> job.state() == State.BEGUN && job.incarnation() == member.incarnation());
    }

    /** A job that was handed in here has ended, or nobody has seen it. */
    void ended(String id, boolean unstarted) {
        if (handedOut.contains(id)) {
            if (unstarted) {
                member.logLine("hands " + id + " back, nobody has seen it");
            }
            pendingEnds.put(id, unstarted);
            poll();
        }
    }

    void poll() {
        if (member.fence(FleetBook.SCHEDULE) > 0) {
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
                    pendingEnds.put(job.id(), true); // begun as the end was told: nobody has seen it, it goes back
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

    /** The right to run it is this life's and is used up by this call; the lease is asked once more just before. */
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
            member.logLine("cannot take " + job.id() + " now: it goes back");
        }
    }

    /** What is due and waits, and what was given to a life that may not come to it. */
    private List<Job> due() {
        double nowMs = member.unixTimeMs();
        List<Job> jobs = new ArrayList<>();
        if (member.state().sessions().all().stream()
                .anyMatch(session -> session.live() && session.state() != Sessions.State.ALIVE)) {
            openJobs.values().stream()
                    .filter(job -> Plans.isStalled(job, member.state().sessions()))
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
                                    job.id(), member.fence(FleetBook.SCHEDULE), target.name(), target.incarnation()),
                            outcome -> pendingLoad.merge(target.name(), -1, Integer::sum))) {
                proposed++;
                pendingLoad.merge(target.name(), 1, Integer::sum); // lest one gets all that is due together
            }
        }
    }

    /** Who has workers for a function and the least of the schedule's jobs; null while nobody has. */
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
