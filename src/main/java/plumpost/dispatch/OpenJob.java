package plumpost.dispatch;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import plumpost.decision.Dispatcher.JobClass;
import plumpost.decision.Dispatcher.WorkerEntry;
import plumpost.time.TimerWheel;

/** A job in the ledger, from its taking to its final answer. */
public final class OpenJob {
    final JobRequest sheet;
    final JobClass cls;
    final double deadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    final List<ReplyTo> waiting = new ArrayList<>(1);
    boolean answered;
    /** Nobody waits for it any more. */
    boolean abandoned;

    TimerWheel.Timer giveUp;
    double share;
    boolean tallied;
    ResultStream stream;
    Attempt teller;
    ByteBuffer words;
    /** Null where nothing but this scheduler decides on handing it out. */
    final LeaseAuthority rights;

    OpenJob(JobRequest sheet, JobClass cls, double deadline, LeaseAuthority rights) {
        this.rights = rights;
        this.sheet = sheet;
        this.cls = cls;
        this.deadline = deadline;
    }

    /** The attempt that is still out, or null. */
    Attempt out() {
        Attempt last = attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
        return last != null && last.ending == null ? last : null;
    }

    boolean mayHaveRun() {
        return first() != null;
    }

    /** The first attempt that may have run, or null. */
    private Attempt first() {
        for (Attempt a : attempts) {
            if (a.ending == null ? !a.held : !a.ending.neverRan()) {
                return a;
            }
        }
        return null;
    }

    /**
     * Whether an attempt may go to a node: none before it may have run, or a repeat is harmless, always or within a time
     * from the first on the nodes that drop it.
     */
    boolean mayRepeat(Attempt attempt, WorkerEntry to, double now) {
        Attempt first = first();
        return first == null
                || first == attempt
                || switch (cls.effect()) {
                    case FREE -> true;
                    case SINGLE_SHOT -> false;
                    case GUARDED ->
                        now < first.sentAt + cls.windowMs()
                                && switch (cls.scope()) {
                                    case ALL -> true;
                                    case ZONE -> first.on.zone() == to.zone();
                                    case CELL -> first.on.cell() == to.cell();
                                };
                };
    }

    /** The job as it was handed in. */
    public JobRequest sheet() {
        return sheet;
    }

    /** True while an attempt is out. */
    public boolean running() {
        return out() != null;
    }

    /** True where nobody waits for its answer. */
    public boolean background() {
        return waiting.stream().noneMatch(ReplyTo::waits);
    }

    /** How many attempts it has had. */
    public int tries() {
        return attempts.size();
    }

    /** How many wait for its answer. */
    public int clients() {
        return waiting.size();
    }

    /** The share that is done, as last told. */
    public double share() {
        return share;
    }
}
