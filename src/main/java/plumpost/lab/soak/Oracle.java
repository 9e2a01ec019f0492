package plumpost.lab.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import plumpost.lab.soak.RequestRecord.AttemptEnd;
import plumpost.lab.soak.RequestRecord.AttemptRecord;
import plumpost.lab.soak.RequestRecord.RequestClass;

/**
 * Judges a soak by the users' rules, from what clients, workers and discovery saw. It knows nothing of the program's inside. Its
 * time is the player's; what the player itself was late by is allowed for. One thread owns it.
 */
final class Oracle {
    /** The rules, in the field's terms of the standing page. */
    enum Rule {
        /** A request without its final answer in time. */
        LOST,
        /** An attempt after an earlier one may have run, of a class that must not. */
        DUPLICATE,
        /** Two attempts of a request out at once. */
        CONCURRENT,
        /** A refusal though it may have run. */
        UNSAFE_REFUSAL,
        /** Sent to a worker that was told to drain, or that an operator took out. */
        DRAIN,
        /** An attempt that began after its client had left. */
        AFTER_LEAVE,
        /** A worker told of more time than the client has left. */
        TOLD_TIME,
        /** An answer that no worker made. */
        FORGED,
        /** A rule's guard in the program stepped in. */
        GUARD,
        /** A process that ended by itself, or was not ready in time. */
        CRASH,
        /** A client that stopped in the middle of a request and was neither answered nor closed in time. */
        STALLED
    }

    /** The platform's figures: grace of a drain, and its slack on sockets. */
    private static final double DRAIN_GRACE_MS = 400;

    private static final double SOCKET_SLACK_MS = 50;
    private static final double LATE_ANSWER_MS = 500;
    private static final double AFTER_LEAVE_MS = 100;
    private static final double TOLD_TIME_SLACK_MS = 150;
    private static final double TAKEN_LATE_MS = 700;
    /** How long the player waits before it judges, so that what is on its way has come. */
    private static final double SETTLE_MS = 400;
    /** What the player may be off by, besides its measured lag. */
    private static final double PLAYER_SLACK_MS = 60;

    private final Map<String, RequestRecord> open = new LinkedHashMap<>();
    private final Map<String, RequestRecord> recent = new HashMap<>();
    private final Map<Rule, List<String>> violations = new TreeMap<>();
    private final Map<String, Long> counts = new TreeMap<>();
    private final DoubleSupplier lagMs;

    /** An oracle that allows for what the player itself was late by lately. */
    Oracle(DoubleSupplier lagMs) {
        this.lagMs = lagMs;
    }

    private double slackMs() {
        return PLAYER_SLACK_MS + lagMs.getAsDouble();
    }

    void violated(Rule rule, String detail) {
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

    void sending(RequestRecord request) {
        open.put(request.id, request);
        recent.put(request.id, request);
        count("requests");
    }

    RequestRecord request(String id) {
        return recent.get(id);
    }

    // ---- what clients see ----

    void answered(RequestRecord request, int status, String body, double now) {
        request.answeredAt = now;
        request.status = status;
        count("answers." + status);
        if (status == 200 && !body.equals("result-" + request.id)) {
            violated(Rule.FORGED, request + " was answered with " + body);
        }
        boolean refused = status == 503 || status == 429;
        boolean mayHaveRun = request.attempts.stream().anyMatch(AttemptRecord::mayHaveRun);
        if (refused && request.requestClass == RequestClass.ORDER && mayHaveRun) {
            violated(Rule.UNSAFE_REFUSAL, request + " was refused at " + Math.round(now));
        }
    }

    // ---- what workers see ----

    void attemptBegan(RequestRecord request, AttemptRecord attempt) {
        request.attempts.add(attempt);
    }

    void attemptWhole(RequestRecord request, AttemptRecord attempt, double toldMs, double now) {
        count("attempts");
        attempt.wholeAt = now;
        for (AttemptRecord earlier : request.attempts) {
            if (earlier != attempt && request.requestClass == RequestClass.ORDER && earlier.mayHaveRun()) {
                violated(Rule.DUPLICATE, request + " on " + attempt.worker + " after " + earlier.worker);
            }
        }
        if (!Double.isNaN(request.leftAt) && now > request.leftAt + AFTER_LEAVE_MS + slackMs()) {
            violated(
                    Rule.AFTER_LEAVE,
                    request + " began " + Math.round(now - request.leftAt) + " ms after its client left");
        }
        double left = request.deadlineAt() - attempt.firstByteAt;
        if (toldMs > left + TOLD_TIME_SLACK_MS + slackMs()) {
            violated(Rule.TOLD_TIME, request + " tells " + toldMs + " ms, " + Math.round(left) + " are left");
        }
    }

    void attemptEnded(AttemptRecord attempt, AttemptEnd end, double now) {
        if (attempt.end == AttemptEnd.OPEN) {
            attempt.end = end;
            attempt.endedAt = now;
        }
    }

    /** A request arrived at a worker that had been told of as leaving, or was taken out, at a time. */
    void attemptOnLeaving(RequestRecord request, AttemptRecord attempt, double toldAt, String how) {
        double limit = toldAt + DRAIN_GRACE_MS + SOCKET_SLACK_MS + slackMs();
        if (attempt.firstByteAt > limit) {
            violated(
                    Rule.DRAIN,
                    request + " sent to " + attempt.worker + " at " + Math.round(attempt.firstByteAt) + ", " + how
                            + " at " + Math.round(toldAt));
        }
    }

    // ---- the judgement ----

    /** Judges all requests whose time is over. */
    void judge(double now) {
        for (Iterator<RequestRecord> each = open.values().iterator(); each.hasNext(); ) {
            RequestRecord request = each.next();
            double judgedAt = request.deadlineAt() + LATE_ANSWER_MS + SETTLE_MS + slackMs();
            if (now > judgedAt
                    || request.life.over() && now > request.life.endedAt + SETTLE_MS && !request.answered()) {
                each.remove();
                judge(request);
            }
        }
        recent.values().removeIf(request -> now > request.deadlineAt() + 10_000);
    }

    /** Judges what is left at the end. */
    void judgeAll() {
        Collection<RequestRecord> left = List.copyOf(open.values());
        open.clear();
        left.forEach(this::judge);
    }

    private void judge(RequestRecord request) {
        concurrency(request);
        if (Double.isNaN(request.wholeAt) || !Double.isNaN(request.leftAt)) {
            count("requests.left_or_unsent");
            return;
        }
        if (request.answered()) {
            if (request.answeredAt > request.deadlineAt() + LATE_ANSWER_MS + slackMs()) {
                violated(Rule.LOST, request + " answered only at " + Math.round(request.answeredAt));
            }
            return;
        }
        String why = lostBecause(request);
        if (why == null) {
            count("requests.free");
        } else {
            violated(Rule.LOST, request + " " + why + ", forwarded: " + request.forwarded() + attemptTimes(request));
        }
    }

    private static String attemptTimes(RequestRecord request) {
        StringBuilder words = new StringBuilder();
        request.attempts.forEach(attempt -> words.append(", ")
                .append(attempt.worker)
                .append(" whole at ")
                .append(Math.round(attempt.wholeAt))
                .append(' ')
                .append(attempt.end)
                .append(" at ")
                .append(Math.round(attempt.endedAt)));
        return words.toString();
    }

    /** Why an unanswered request is lost, or null where the rules free it. */
    private static String lostBecause(RequestRecord request) {
        SchedulerLife life = request.life;
        boolean killed = life.over() && life.endedAt <= request.deadlineAt() + LATE_ANSWER_MS;
        boolean closed = !Double.isNaN(request.closedUnansweredAt);
        if (life.connectionsBreak && closed) {
            return null; // its connection was broken by a fault of the network
        }
        if (life.terminated()) {
            boolean early = request.wholeAt <= life.terminatedAt + TAKEN_LATE_MS;
            boolean unread = closed && !request.forwarded();
            boolean cutOff = killed && !life.endedInOrder;
            return cutOff && early || unread
                    ? null
                    : "had no answer in the shutdown of " + Math.round(life.terminatedAt);
        }
        if (killed) {
            return null; // killed without notice
        }
        boolean crossed = closed && !request.forwarded() && !request.onNewConnection;
        return crossed ? null : closed ? "was closed unanswered" : "had no answer";
    }

    /** Two attempts out at once: an earlier one ended only well after a later one had begun. */
    private void concurrency(RequestRecord request) {
        for (int later = 1; later < request.attempts.size(); later++) {
            AttemptRecord second = request.attempts.get(later);
            AttemptRecord first = request.attempts.get(later - 1);
            boolean both = !Double.isNaN(first.wholeAt) && !Double.isNaN(second.wholeAt);
            if (both && !(first.endedAt <= second.wholeAt + SOCKET_SLACK_MS + slackMs())) {
                violated(
                        Rule.CONCURRENT,
                        request + " on " + second.worker + " at " + Math.round(second.wholeAt) + " while on "
                                + first.worker + " until " + Math.round(first.endedAt));
            }
        }
    }
}
