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
import plumpost.http.Answers;
import plumpost.http.BadMessage;
import plumpost.http.RequestReader;
import plumpost.lab.soak.RequestRecord.AttemptRecord;
import plumpost.lab.soak.SoakWorkers.Worker;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.SelectorLoop;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/**
 * The discovery service of a soak. Each scheduler has an address of its own, so that what was told to whom is known. It can be
 * away, silent or slow, and remembers for each worker when it was told of as leaving.
 */
final class SoakDiscovery {
    private static final double EMPTY_LINE_MS = 2_000;
    /** A change counts as told so long after discovery had it and could be reached, whether or not it arrived. */
    private static final double TOLD_WITHIN_MS = 6_000;

    private static final int MOST_CALLERS = 1_000;
    private static final String LEAVING = "drain told";

    private final SelectorLoop loop;
    private final TimerWheel wheel;
    private final Clock clock;
    private final Oracle oracle;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    /** When each scheduler was told that a worker leaves, by scheduler and worker. */
    private final Map<String, Double> toldLeaving = new HashMap<>();
    /** When discovery had it that a worker leaves. */
    private final Map<String, Double> hadLeaving = new HashMap<>();
    /** When an operator's call to take a worker out was acknowledged, by scheduler and worker; none while it is back. */
    private final Map<String, Double> takenOut = new HashMap<>();

    private long version = 1;
    private double awayUntil;
    private double slowUntil;
    private double silentUntil;
    private double lastAwayAt = Double.NEGATIVE_INFINITY;

    SoakDiscovery(SelectorLoop loop, TimerWheel wheel, Clock clock, Oracle oracle) {
        this.loop = loop;
        this.wheel = wheel;
        this.clock = clock;
        this.oracle = oracle;
        sendEmptyLines();
    }

    /** The address at which a scheduler reaches discovery. */
    InetSocketAddress addressFor(int scheduler) throws IOException {
        InetSocketAddress anywhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return loop.listen(anywhere, caller -> new Watch(scheduler, caller), MOST_CALLERS, () -> false)
                .address();
    }

    void add(Worker worker) {
        workers.put(worker.name(), worker);
        changed(worker);
    }

    /** The list as a configuration's last known one. */
    String known() {
        return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + lines() + "]}";
    }

    private String lines() {
        return workers.values().stream()
                .filter(Worker::listed)
                .map(Worker::line)
                .collect(Collectors.joining(","));
    }

    /** Resets all calls and turns new ones away for a while. */
    void away(double forMs) {
        awayUntil = Math.max(awayUntil, clock.nowMs() + forMs);
        lastAwayAt = awayUntil;
        Set.copyOf(watches).forEach(watch -> watch.connection.cut());
        watches.clear();
    }

    /** Open watches fall silent for good; new calls are answered. */
    void silence() {
        watches.forEach(watch -> watch.silent = true);
    }

    /** Answers come late for a while. */
    void slow(double forMs) {
        slowUntil = Math.max(slowUntil, clock.nowMs() + forMs);
    }

    /** Takes calls and says nothing at all for a while. */
    void mute(double forMs) {
        silentUntil = Math.max(silentUntil, clock.nowMs() + forMs);
        lastAwayAt = Math.max(lastAwayAt, silentUntil);
        silence();
    }

    /** A worker's line has changed. */
    void changed(Worker worker) {
        version++;
        if (!worker.line().contains("\"up\"")) {
            hadLeaving.putIfAbsent(worker.name(), clock.nowMs());
        }
        String object = "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[" + worker.line() + "]}\n";
        watches.forEach(watch -> watch.tell(object));
    }

    private void sendEmptyLines() {
        watches.forEach(watch -> watch.tell("\n"));
        wheel.at(clock.nowMs() + EMPTY_LINE_MS, this::sendEmptyLines);
    }

    /** An operator's call was acknowledged. */
    void operator(int scheduler, String worker, boolean out) {
        if (out) {
            takenOut.putIfAbsent(scheduler + " " + worker, clock.nowMs());
        } else {
            takenOut.remove(scheduler + " " + worker);
        }
    }

    /** Holds a request that arrived at a worker against what its scheduler was told. */
    void checkSent(RequestRecord request, AttemptRecord attempt) {
        String key = request.life.scheduler + " " + attempt.worker;
        Double told = toldLeaving.get(key);
        Double had = hadLeaving.get(attempt.worker);
        if (had != null && lastAwayAt < had) { // it could be reached all the time since
            double latest = Math.max(had, request.life.readyAt) + TOLD_WITHIN_MS;
            told = told == null ? latest : Math.min(told, latest);
        }
        if (told != null) {
            oracle.attemptOnLeaving(request, attempt, told, LEAVING);
        }
        Double out = takenOut.get(key);
        if (out != null) {
            oracle.attemptOnLeaving(request, attempt, out, "taken out by an operator");
        }
    }

    /** One call for the list, which stays open as a watch. */
    private final class Watch implements ConnectionHandler {
        private final int scheduler;
        private final Connection connection;
        private final RequestReader reader = new RequestReader(1024);
        private boolean answered;
        private boolean silent;
        private boolean over;

        Watch(int scheduler, Connection connection) {
            this.scheduler = scheduler;
            this.connection = connection;
        }

        @Override
        public void bytes(ByteBuffer in) {
            double now = clock.nowMs();
            if (now < awayUntil) {
                connection.write(Answers.ascii("HTTP/1.1 503 Away\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
                connection.finish();
                over = true;
                return;
            }
            try {
                if (!answered && reader.feed(in) && now >= silentUntil) {
                    wheel.at(now + (now < slowUntil ? 1_500 : 0), this::answer);
                }
            } catch (BadMessage e) {
                oracle.violated(Oracle.Rule.FORGED, "a scheduler sent discovery what is no request: " + e);
            }
        }

        private void answer() {
            if (over || answered) {
                return;
            }
            answered = true;
            watches.add(this);
            connection.write(Answers.ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            tell(known() + "\n");
            hadLeaving.keySet().forEach(this::toldOf);
        }

        private void tell(String text) {
            if (!answered || silent || over) {
                return;
            }
            connection.write(Answers.ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            workers.values().stream()
                    .filter(worker ->
                            text.contains("\"" + worker.name() + "\"") && hadLeaving.containsKey(worker.name()))
                    .forEach(worker -> toldOf(worker.name()));
        }

        private void toldOf(String worker) {
            toldLeaving.putIfAbsent(scheduler + " " + worker, clock.nowMs());
        }

        @Override
        public void ended() {
            over = true;
            watches.remove(this);
        }
    }
}
