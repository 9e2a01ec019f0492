package plumpost.lab.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import plumpost.lab.soak.RequestRecord.AttemptEnd;
import plumpost.lab.soak.RequestRecord.AttemptRecord;

/**
 * Checks a soak against the users' rules, using only what the emulated clients, workers and discovery observed and no internal
 * state of the program. Times are those of the laboratory's loop, whose own lag is added to every tolerance. Not thread-safe:
 * all calls are made on that loop's thread.
 */
final class Oracle {
    /** The rules that a run must not break; the names appear in printed reports. */
    enum Rule {
        /** A request did not get its final answer in time. */
        LOST,
        /** A request of a class that must run at most once was sent again after an earlier attempt may have run. */
        DUPLICATE,
        /** Two attempts of one request were outstanding at the same time. */
        CONCURRENT,
        /** A request was refused although it may have run. */
        UNSAFE_REFUSAL,
        /** A request was sent to a worker that was known to drain, or that an operator had taken offline. */
        DRAIN,
        /** An attempt began after its client had disconnected. */
        AFTER_LEAVE,
        /** A worker was told of more remaining time than the client had. */
        TOLD_TIME,
        /** A request that is not sound was answered as served. */
        UNSOUND_SERVED,
        /** A message that no peer sent: an unknown request id, a wrong answer or malformed HTTP. */
        FORGED,
        /** The program's own rule guard intervened or it logged a fault. */
        GUARD,
        /** A process ended unexpectedly or with an error, or was not ready in time. */
        CRASH,
        /** A client that stopped in the middle of a request was neither answered nor disconnected in time. */
        STALLED,
        /** A process used more memory than its configuration allows. */
        MEMORY
    }

    /** How long after the notification a scheduler may still send to a draining worker, as the platform defines it. */
    private static final double DRAIN_GRACE_MS = 400;

    /** The platform's tolerance for events that are observed on sockets. */
    private static final double SOCKET_SLACK_MS = 50;

    private static final double LATE_ANSWER_MS = 500;
    private static final double AFTER_LEAVE_MS = 100;
    private static final double REMAINING_TIME_SLACK_MS = 150;
    /** A request that was sent within this time after SIGTERM may be cut off by the SIGKILL that follows. */
    private static final double ACCEPT_AFTER_TERM_MS = 700;
    /** Extra delay before a request is judged, so that events in transit have arrived. */
    private static final double SETTLE_MS = 400;
    /** Timing error of the laboratory besides its measured lag. */
    private static final double LAB_SLACK_MS = 60;

    private final Map<String, RequestRecord> open = new LinkedHashMap<>();
    private final Map<String, RequestRecord> recent = new HashMap<>();
    private final Map<Rule, List<String>> violations = new TreeMap<>();
    private final Map<String, Long> counts = new TreeMap<>();
    private final DoubleSupplier lagMs;

    /** Creates an oracle that adds the laboratory's recent lag to its tolerances. */
    Oracle(DoubleSupplier lagMs) {
        this.lagMs = lagMs;
    }

    private double slackMs() {
        return LAB_SLACK_MS + lagMs.getAsDouble();
    }

    void recordViolation(Rule rule, String detail) {
        violations.computeIfAbsent(rule, none -> new ArrayList<>()).add(detail);
    }

    Map<Rule, List<String>> violations() {
        return violations;
    }

    Map<String, Long> counts() {
        return counts;
    }

    void count(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    void requestSent(RequestRecord request) {
        open.put(request.id, request);
        recent.put(request.id, request);
        count("requests");
    }

    /** Returns the requests that a worker of this process has taken and whose clients wait for the answer. */
    List<RequestRecord> findRunning(SchedulerRun run) {
        return open.values().stream()
                .filter(request -> request.schedulerRun == run
                        && request.forwarded()
                        && !request.answered()
                        && Double.isNaN(request.clientLeftAt)
                        && Double.isNaN(request.closedUnansweredAt))
                .toList();
    }

    RequestRecord findRequest(String id) {
        return recent.get(id);
    }

    // ---- observations of clients ----

    void answered(RequestRecord request, int status, String body, double now) {
        request.answeredAt = now;
        request.status = status;
        count("answers." + status);
        if (status == 200 && !body.equals("result-" + request.id)) {
            recordViolation(Rule.FORGED, request + " was answered with " + body);
        }
        boolean refused = status == 503 || status == 429;
        boolean mayHaveRun = request.attempts.stream().anyMatch(AttemptRecord::mayHaveRun);
        if (refused && request.requestClass.runsOnce() && mayHaveRun) {
            recordViolation(Rule.UNSAFE_REFUSAL, request + " was refused at " + Math.round(now));
        }
    }

    // ---- observations of workers ----

    void attemptBegan(RequestRecord request, AttemptRecord attempt) {
        request.attempts.add(attempt);
    }

    void attemptReceived(RequestRecord request, AttemptRecord attempt, double announcedMs, double now) {
        count("attempts");
        attempt.receivedAt = now;
        for (AttemptRecord earlier : request.attempts) {
            if (earlier != attempt && request.requestClass.runsOnce() && earlier.mayHaveRun()) {
                recordViolation(Rule.DUPLICATE, request + " on " + attempt.worker + " after " + earlier.worker);
            }
        }
        if (!Double.isNaN(request.clientLeftAt) && now > request.clientLeftAt + AFTER_LEAVE_MS + slackMs()) {
            recordViolation(
                    Rule.AFTER_LEAVE,
                    request + " began " + Math.round(now - request.clientLeftAt) + " ms after its client left");
        }
        double left = request.deadlineAt() - attempt.firstByteAt;
        if (announcedMs > left + REMAINING_TIME_SLACK_MS + slackMs()) {
            recordViolation(
                    Rule.TOLD_TIME, request + " tells " + announcedMs + " ms, " + Math.round(left) + " are left");
        }
    }

    void attemptEnded(AttemptRecord attempt, AttemptEnd end, double now) {
        if (attempt.end == AttemptEnd.OPEN) {
            attempt.end = end;
            attempt.endedAt = now;
        }
    }

    /** Reports a DRAIN violation where a request reached a worker too long after its scheduler was notified that it leaves. */
    void checkSentToLeavingWorker(RequestRecord request, AttemptRecord attempt, double notifiedAt, String how) {
        double limit = notifiedAt + DRAIN_GRACE_MS + SOCKET_SLACK_MS + slackMs();
        if (attempt.firstByteAt > limit) {
            recordViolation(
                    Rule.DRAIN,
                    request + " sent to " + attempt.worker + " at " + Math.round(attempt.firstByteAt) + ", " + how
                            + " at " + Math.round(notifiedAt));
        }
    }

    // ---- evaluation ----

    /** Judges all requests whose deadline and tolerances, or whose process, are over. */
    void judge(double now) {
        for (Iterator<RequestRecord> iterator = open.values().iterator(); iterator.hasNext(); ) {
            RequestRecord request = iterator.next();
            double judgedAt = request.deadlineAt() + LATE_ANSWER_MS + SETTLE_MS + slackMs();
            if (now > judgedAt
                    || request.schedulerRun.hasEnded()
                            && now > request.schedulerRun.endedAt + SETTLE_MS
                            && !request.answered()) {
                iterator.remove();
                judge(request);
            }
        }
        recent.values().removeIf(request -> now > request.deadlineAt() + 10_000);
    }

    /** Judges all requests that are still open at the end of the run. */
    void judgeAll() {
        Collection<RequestRecord> left = List.copyOf(open.values());
        open.clear();
        left.forEach(this::judge);
    }

    /** Judges one request and counts which rule, or which freedom that the pages give, has decided. */
    private void judge(RequestRecord request) {
        checkConcurrency(request);
        if (Double.isNaN(request.sentAt)) {
            count("free.unsent");
        } else if (!Double.isNaN(request.clientLeftAt)) {
            count("judged.left"); // no attempt may begin for it: checked at each attempt
        } else if (request.answered()) {
            count("judged.answered");
            if (request.answeredAt > request.deadlineAt() + LATE_ANSWER_MS + slackMs()) {
                recordViolation(Rule.LOST, request + " answered only at " + Math.round(request.answeredAt));
            }
        } else {
            judgeUnanswered(request);
        }
    }

    private void judgeUnanswered(RequestRecord request) {
        FreeReason reason = freeReason(request);
        if (reason == null) {
            recordViolation(
                    Rule.LOST,
                    request + " " + lossText(request) + ", forwarded: " + request.forwarded() + attemptTimes(request));
        } else {
            count("free." + reason.name().toLowerCase(Locale.ROOT));
        }
    }

    private static String attemptTimes(RequestRecord request) {
        StringBuilder text = new StringBuilder();
        request.attempts.forEach(attempt -> text.append(", ")
                .append(attempt.worker)
                .append(" whole at ")
                .append(Math.round(attempt.receivedAt))
                .append(' ')
                .append(attempt.end)
                .append(" at ")
                .append(Math.round(attempt.endedAt)));
        return text.toString();
    }

    /** Why the pages allow a request to go unanswered. */
    private enum FreeReason {
        /** An injected network fault broke its connection. */
        CONNECTION_BROKEN,
        /** SIGKILL cut it off, and it came at most 0.7 s after SIGTERM. */
        CUT_OFF,
        /** Its connection was closed after SIGTERM before it was read. */
        UNREAD_AT_SHUTDOWN,
        /** Its process was killed without notice. */
        KILLED,
        /** It crossed the close of a resting connection; the client sends it once more. */
        CROSSED
    }

    /** Returns why an unanswered request breaks no rule, or null if it counts as lost. */
    private static FreeReason freeReason(RequestRecord request) {
        SchedulerRun life = request.schedulerRun;
        boolean killed = life.hasEnded() && life.endedAt <= request.deadlineAt() + LATE_ANSWER_MS;
        boolean closed = !Double.isNaN(request.closedUnansweredAt);
        if (life.connectionsMayBreak && closed) {
            return FreeReason.CONNECTION_BROKEN;
        }
        if (life.wasTerminated()) {
            boolean early = request.sentAt <= life.terminatedAt + ACCEPT_AFTER_TERM_MS;
            if (killed && !life.endedCleanly && early) {
                return FreeReason.CUT_OFF;
            }
            return closed && !request.forwarded() ? FreeReason.UNREAD_AT_SHUTDOWN : null;
        }
        if (killed) {
            return FreeReason.KILLED;
        }
        return closed && !request.forwarded() && !request.onNewConnection ? FreeReason.CROSSED : null;
    }

    private static String lossText(RequestRecord request) {
        SchedulerRun life = request.schedulerRun;
        if (life.wasTerminated()) {
            return "had no answer in the shutdown of " + Math.round(life.terminatedAt);
        }
        return Double.isNaN(request.closedUnansweredAt) ? "had no answer" : "was closed unanswered";
    }

    /** Reports attempts that overlap: the earlier one ended later than the tolerance after the next one was received. */
    private void checkConcurrency(RequestRecord request) {
        for (int later = 1; later < request.attempts.size(); later++) {
            AttemptRecord second = request.attempts.get(later);
            AttemptRecord first = request.attempts.get(later - 1);
            boolean both = !Double.isNaN(first.receivedAt) && !Double.isNaN(second.receivedAt);
            if (both && !(first.endedAt <= second.receivedAt + SOCKET_SLACK_MS + slackMs())) {
                recordViolation(
                        Rule.CONCURRENT,
                        request + " on " + second.worker + " at " + Math.round(second.receivedAt) + " while on "
                                + first.worker + " until " + Math.round(first.endedAt));
            }
        }
    }
}
