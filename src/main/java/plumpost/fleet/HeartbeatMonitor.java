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
 * The log leader's failure detector: records the heartbeats of each session and proposes verdicts that mark sessions as
 * suspect, lost or alive again. It only speeds up takeover: a false verdict costs a change of owner and harms nothing. A
 * new leader, and one that notices that its own process was suspended, starts counting anew. Does no I/O; times are
 * milliseconds of any monotonic clock.
 */
public final class HeartbeatMonitor {
    private record SessionKey(String name, long incarnation) {}

    private final double suspectMs;
    private final double lostMs;
    private final double maxCheckGapMs;
    private final Map<SessionKey, Double> lastHeard = new HashMap<>();
    /** When this leader first saw each session in the state: silence counts from then, not from the start of its term. */
    private final Map<SessionKey, Double> firstSeen = new HashMap<>();

    private final Set<SessionKey> lagging = new HashSet<>();
    private double leadingSinceMs = Double.NaN;
    private double lastCheckMs;

    /**
     * Creates a detector; all parameters are milliseconds.
     *
     * @param suspectMs silence, or lag of the copy of the state, from which a session is suspect
     * @param lostMs silence from which a session is lost
     * @param maxCheckGapMs two checks farther apart than this mean that the leader itself was suspended in between
     */
    public HeartbeatMonitor(double suspectMs, double lostMs, double maxCheckGapMs) {
        this.suspectMs = suspectMs;
        this.lostMs = lostMs;
        this.maxCheckGapMs = maxCheckGapMs;
    }

    /** Starts counting anew: this process leads from now on. */
    public void startLeading(double nowMs) {
        lastHeard.clear();
        lagging.clear();
        firstSeen.clear();
        leadingSinceMs = nowMs;
        lastCheckMs = nowMs;
    }

    /**
     * Records a heartbeat of a session whose copy of the state has been lagging for {@code behindMs}. A session that lags
     * for long is marked suspect: it continues, and gets nothing new.
     */
    public void recordHeartbeat(String name, long incarnation, double nowMs, double behindMs) {
        SessionKey key = new SessionKey(name, incarnation);
        lastHeard.put(key, nowMs);
        if (behindMs >= suspectMs) {
            lagging.add(key);
        } else {
            lagging.remove(key);
        }
    }

    private static boolean hasEnded(SessionKey key, Collection<Session> sessions) {
        return sessions.stream()
                .noneMatch(session ->
                        session.name().equals(key.name) && session.incarnation() == key.incarnation && session.live());
    }

    /** Returns the verdicts to propose now, under the leader's term. */
    public List<Entry> check(Collection<Session> sessions, long term, double nowMs) {
        if (Double.isNaN(leadingSinceMs) || nowMs - lastCheckMs > maxCheckGapMs) {
            startLeading(nowMs);
        }
        lastCheckMs = nowMs;
        List<Entry> proposals = new ArrayList<>();
        lastHeard.keySet().removeIf(key -> hasEnded(key, sessions));
        firstSeen.keySet().removeIf(key -> hasEnded(key, sessions));
        lagging.removeIf(key -> hasEnded(key, sessions));
        for (Session session : sessions) {
            if (session.live()) {
                Double lastMs = lastHeard.get(new SessionKey(session.name(), session.incarnation()));
                double firstMs =
                        firstSeen.computeIfAbsent(new SessionKey(session.name(), session.incarnation()), key -> nowMs);
                double silentMs = nowMs - (lastMs == null ? firstMs : lastMs);
                Entry.Verdict verdict = silentMs >= lostMs
                        ? Entry.Verdict.LOST
                        : silentMs >= suspectMs
                                        || lagging.contains(new SessionKey(session.name(), session.incarnation()))
                                ? Entry.Verdict.SUSPECT
                                : lastMs == null ? null : Entry.Verdict.ALIVE;
                boolean unchanged = verdict == Entry.Verdict.ALIVE && session.state() == State.ALIVE
                        || verdict == Entry.Verdict.SUSPECT && session.state() == State.SUSPECT
                        || verdict != Entry.Verdict.LOST && session.state() == State.LEAVING;
                if (verdict != null && !unchanged) {
                    proposals.add(new Entry.Judge(session.name(), session.incarnation(), verdict, term));
                }
            }
        }
        return proposals;
    }
}
