package plumpost.dispatch;

import java.util.HashMap;
import java.util.Map;

/** Counts open jobs by kind of work; updated on every change, so that reading a count takes constant time. */
public final class OpenJobCounts {
    /** Counts for one kind of work: all open jobs, the running ones, and the waiting ones by priority. */
    public static final class Tally {
        private long open;
        private long running;
        private final long[] waiting = new long[3];

        /** Returns the number of jobs without a final answer. */
        public long open() {
            return open;
        }

        /** Returns how many of the open jobs have an outstanding attempt. */
        public long running() {
            return running;
        }

        /** Returns how many wait for a node with a priority of the given sign: above 0, 0 or below. */
        public long waiting(int priority) {
            return waiting[1 - Integer.signum(priority)];
        }
    }

    private final Map<WorkKind, Tally> byKind = new HashMap<>();

    /** Returns the live counts of a kind of work; all are 0 if it never had a job. */
    public Tally forKind(WorkKind kind) {
        return byKind.computeIfAbsent(kind, newKind -> new Tally());
    }

    void added(OpenJob job) {
        Tally tally = forKind(job.spec.work().kind());
        tally.open++;
        tally.waiting[priorityIndex(job)]++;
    }

    void setRunning(OpenJob job, boolean isRunning) {
        if (job.countedAsRunning != isRunning && !job.answered) {
            job.countedAsRunning = isRunning;
            Tally tally = forKind(job.spec.work().kind());
            tally.running += isRunning ? 1 : -1;
            tally.waiting[priorityIndex(job)] += isRunning ? -1 : 1;
        }
    }

    void removed(OpenJob job) {
        Tally tally = forKind(job.spec.work().kind());
        tally.open--;
        if (job.countedAsRunning) {
            tally.running--;
        } else {
            tally.waiting[priorityIndex(job)]--;
        }
    }

    private static int priorityIndex(OpenJob job) {
        return 1 - Integer.signum(job.spec.work().priority());
    }
}
