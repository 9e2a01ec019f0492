package plumpost.lab.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import plumpost.http.AnswerEncoder;
import plumpost.http.BadMessageException;
import plumpost.http.RequestReader;
import plumpost.lab.soak.RequestRecord.AttemptRecord;
import plumpost.lab.soak.SoakWorkers.Worker;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.SelectorLoop;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/**
 * The discovery service of a soak. Each scheduler has its own address, so it is known which scheduler received which change. It
 * can be unavailable, unresponsive or slow, and records when each scheduler was notified that a worker leaves.
 */
final class SoakDiscovery {
    private static final double EMPTY_LINE_MS = 2_000;
    /** A change counts as received this long after discovery had it, if discovery was reachable all the time since. */
    private static final double MAX_PROPAGATION_MS = 6_000;

    private static final int MAX_CONNECTIONS = 1_000;
    private static final String LEAVING = "drain told";

    private final SelectorLoop loop;
    private final TimerWheel wheel;
    private final Clock clock;
    private final Oracle oracle;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    /** When each scheduler was notified that a worker leaves, by scheduler and worker. */
    private final Map<String, Double> notifiedLeavingAt = new HashMap<>();
    /** When discovery learned that a worker leaves. */
    private final Map<String, Double> leavingSince = new HashMap<>();
    /** When an operator's offline call was acknowledged, by scheduler and worker; removed by the online call. */
    private final Map<String, Double> offlineSince = new HashMap<>();

    private long version = 1;
    private double unavailableUntil;
    private double slowUntil;
    private double silentUntil;
    private double lastUnavailableAt = Double.NEGATIVE_INFINITY;

    SoakDiscovery(SelectorLoop loop, TimerWheel wheel, Clock clock, Oracle oracle) {
        this.loop = loop;
        this.wheel = wheel;
        this.clock = clock;
        this.oracle = oracle;
        sendEmptyLines();
    }

    /** Opens and returns the address at which one scheduler reaches discovery. */
    InetSocketAddress addressFor(int scheduler) throws IOException {
        InetSocketAddress anywhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return loop.listen(anywhere, caller -> new Watch(scheduler, caller), MAX_CONNECTIONS, () -> false)
                .address();
    }

    void add(Worker worker) {
        workers.put(worker.name(), worker);
        publishChange(worker);
    }

    /** Returns the whole list in the form that a settings file has for the last known one. */
    String wholeList() {
        return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + lines() + "]}";
    }

    private String lines() {
        return workers.values().stream()
                .filter(Worker::listed)
                .map(Worker::line)
                .collect(Collectors.joining(","));
    }

    /** Resets all watches and answers new calls with 503 for a time. */
    void makeUnavailable(double forMs) {
        unavailableUntil = Math.max(unavailableUntil, clock.nowMs() + forMs);
        lastUnavailableAt = unavailableUntil;
        Set.copyOf(watches).forEach(watch -> watch.connection.closeNow());
        watches.clear();
    }

    /** Sends nothing more on the watches that are open; new calls are answered. */
    void silenceWatches() {
        watches.forEach(watch -> watch.silent = true);
    }

    /** Delays answers by 1.5 s for a time. */
    void delayAnswers(double forMs) {
        slowUntil = Math.max(slowUntil, clock.nowMs() + forMs);
    }

    /** Accepts calls without answering them for a time, and silences the open watches. */
    void mute(double forMs) {
        silentUntil = Math.max(silentUntil, clock.nowMs() + forMs);
        lastUnavailableAt = Math.max(lastUnavailableAt, silentUntil);
        silenceWatches();
    }

    /** Sends a worker's changed line to all watches. */
    void publishChange(Worker worker) {
        version++;
        if (!worker.line().contains("\"up\"")) {
            leavingSince.putIfAbsent(worker.name(), clock.nowMs());
        }
        String object = "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[" + worker.line() + "]}\n";
        watches.forEach(watch -> watch.send(object));
    }

    private void sendEmptyLines() {
        watches.forEach(watch -> watch.send("\n"));
        wheel.schedule(clock.nowMs() + EMPTY_LINE_MS, this::sendEmptyLines);
    }

    /** Records that a scheduler acknowledged an operator's call. */
    void operatorCallAcknowledged(int scheduler, String worker, boolean offline) {
        if (offline) {
            offlineSince.putIfAbsent(scheduler + " " + worker, clock.nowMs());
        } else {
            offlineSince.remove(scheduler + " " + worker);
        }
    }

    /** Checks that a request was not sent to a worker that its scheduler knew to be leaving or offline. */
    void checkSent(RequestRecord request, AttemptRecord attempt) {
        String key = request.schedulerRun.scheduler + " " + attempt.worker;
        Double notifiedAt = notifiedLeavingAt.get(key);
        Double leavingAt = leavingSince.get(attempt.worker);
        if (leavingAt != null && lastUnavailableAt < leavingAt) { // discovery was reachable all the time since
            double latest = Math.max(leavingAt, request.schedulerRun.readyAt) + MAX_PROPAGATION_MS;
            notifiedAt = notifiedAt == null ? latest : Math.min(notifiedAt, latest);
        }
        if (notifiedAt != null) {
            oracle.checkSentToLeavingWorker(request, attempt, notifiedAt, LEAVING);
        }
        Double offlineAt = offlineSince.get(key);
        if (offlineAt != null) {
            oracle.checkSentToLeavingWorker(request, attempt, offlineAt, "taken out by an operator");
        }
    }

    /** One call for the list, which stays open as a watch for changes. */
    private final class Watch implements ConnectionHandler {
        private final int scheduler;
        private final Connection connection;
        private final RequestReader reader = new RequestReader(1024);
        private boolean answered;
        private boolean silent;
        private boolean closed;

        Watch(int scheduler, Connection connection) {
            this.scheduler = scheduler;
            this.connection = connection;
        }

        @Override
        public void received(ByteBuffer in) {
            double now = clock.nowMs();
            if (now < unavailableUntil) {
                connection.write(
                        AnswerEncoder.ascii("HTTP/1.1 503 Away\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
                connection.finish();
                closed = true;
                return;
            }
            try {
                if (!answered && reader.feed(in) && now >= silentUntil) {
                    wheel.schedule(now + (now < slowUntil ? 1_500 : 0), this::answer);
                }
            } catch (BadMessageException e) {
                oracle.recordViolation(Oracle.Rule.FORGED, "a scheduler sent discovery what is no request: " + e);
            }
        }

        private void answer() {
            if (closed || answered) {
                return;
            }
            answered = true;
            watches.add(this);
            connection.write(AnswerEncoder.ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            send(wholeList() + "\n");
            leavingSince.keySet().forEach(this::recordNotified);
        }

        private void send(String text) {
            if (!answered || silent || closed) {
                return;
            }
            connection.write(AnswerEncoder.ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            workers.values().stream()
                    .filter(worker ->
                            text.contains("\"" + worker.name() + "\"") && leavingSince.containsKey(worker.name()))
                    .forEach(worker -> recordNotified(worker.name()));
        }

        private void recordNotified(String worker) {
            notifiedLeavingAt.putIfAbsent(scheduler + " " + worker, clock.nowMs());
        }

        @Override
        public void ended() {
            closed = true;
            watches.remove(this);
        }
    }
}
