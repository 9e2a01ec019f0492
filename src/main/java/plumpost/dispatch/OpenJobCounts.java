package plumpost.dispatch;

import java.util.ArrayList;
import java.util.List;

/** Counts open jobs by kind of work, kept as jobs come, run and go, so that reading them costs nothing. */
public final class OpenJobCounts {
    /** Open jobs of one kind of work: all, those that a node has, and those that wait by priority. */
    public static final class Tally {
        private long open;
        private long running;
        private final long[] waiting = new long[3];

        /** Jobs that still owe an answer. */
        public long open() {
            return open;
        }

        /** Those of them that a node has. */
        public long running() {
            return running;
        }

        /** Those that wait for a node, by priority: above 0, 0 or below. */
        public long waiting(int priority) {
            return waiting[1 - Integer.signum(priority)];
        }
    }

    private final List<Tally> all = new ArrayList<>();

    /** The counts of a kind of work; all 0 where none was ever seen. */
    public Tally of(int kind) {
        while (all.size() <= kind) {
            all.add(new Tally());
        }
        return all.get(kind);
    }

    void taken(OpenJob e) {
        Tally t = of(e.sheet.work().kind());
        t.open++;
        t.waiting[slot(e)]++;
    }

    void moved(OpenJob e, boolean running) {
        if (e.tallied != running && !e.answered) {
            e.tallied = running;
            Tally t = of(e.sheet.work().kind());
            t.running += running ? 1 : -1;
            t.waiting[slot(e)] += running ? -1 : 1;
        }
    }

    void closed(OpenJob e) {
        Tally t = of(e.sheet.work().kind());
        t.open--;
        if (e.tallied) {
            t.running--;
        } else {
            t.waiting[slot(e)]--;
        }
    }

    private static int slot(OpenJob e) {
        return 1 - Integer.signum(e.sheet.work().priority());
    }
}
