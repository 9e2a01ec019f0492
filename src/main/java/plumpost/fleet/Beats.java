package plumpost.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import plumpost.fleet.Sessions.Session;
import plumpost.fleet.Sessions.State;

/**
 * What the log's leader has heard of each life, and whom it therefore proposes to call suspect, lost or alive again. It
 * only makes takeover quick: a false word of it costs a change of owner and harms nothing. A leader that comes to
 * office, or that notices that it has itself been stopped, begins to count anew. Does no I/O; times are milliseconds of
 * any steady clock.
 */
public final class Beats {
    private record Life(String name, long incarnation) {}

    private final double suspectMs;
    private final double lostMs;
    private final double stoppedMs;
    private final Map<Life, Double> heard = new HashMap<>();
    /** When each life was first seen in the book by this leader: its time runs from then, not from the leader's start. */
    private final Map<Life, Double> known = new HashMap<>();

    private final Set<Life> late = new HashSet<>();
    private double since = Double.NaN;
    private double lookedAt;

    /** {@code stoppedMs}: two looks farther apart than this mean that the leader itself was stopped meanwhile. */
    public Beats(double suspectMs, double lostMs, double stoppedMs) {
        this.suspectMs = suspectMs;
        this.lostMs = lostMs;
        this.stoppedMs = stoppedMs;
    }

    /** This process leads from now on. */
    public void lead(double nowMs) {
        heard.clear();
        late.clear();
        known.clear();
        since = nowMs;
        lookedAt = nowMs;
    }

    /** A life was heard, whose copy of the book has been behind for so long: it keeps its life and gets nothing new. */
    public void beat(String name, long incarnation, double nowMs, double behindMs) {
        Life life = new Life(name, incarnation);
        heard.put(life, nowMs);
        if (behindMs >= suspectMs) {
            late.add(life);
        } else {
            late.remove(life);
        }
    }

    private static boolean over(Life l, Collection<Session> sessions) {
        return sessions.stream()
                .noneMatch(s -> s.name().equals(l.name) && s.incarnation() == l.incarnation && s.live());
    }

    /** What is to be proposed now, under the leader's term. */
    public List<Entry> look(Collection<Session> sessions, long term, double nowMs) {
        if (Double.isNaN(since) || nowMs - lookedAt > stoppedMs) {
            lead(nowMs);
        }
        lookedAt = nowMs;
        List<Entry> all = new ArrayList<>();
        heard.keySet().removeIf(l -> over(l, sessions));
        known.keySet().removeIf(l -> over(l, sessions));
        late.removeIf(l -> over(l, sessions));
        for (Session s : sessions) {
            if (s.live()) {
                Double last = heard.get(new Life(s.name(), s.incarnation()));
                double first = known.computeIfAbsent(new Life(s.name(), s.incarnation()), l -> nowMs);
                double silent = nowMs - (last == null ? first : last);
                Entry.Verdict v = silent >= lostMs
                        ? Entry.Verdict.LOST
                        : silent >= suspectMs || late.contains(new Life(s.name(), s.incarnation()))
                                ? Entry.Verdict.SUSPECT
                                : last == null ? null : Entry.Verdict.ALIVE;
                boolean same = v == Entry.Verdict.ALIVE && s.state() == State.ALIVE
                        || v == Entry.Verdict.SUSPECT && s.state() == State.SUSPECT
                        || v != Entry.Verdict.LOST && s.state() == State.LEAVING;
                if (v != null && !same) {
                    all.add(new Entry.Judge(s.name(), s.incarnation(), v, term));
                }
            }
        }
        return all;
    }
}
