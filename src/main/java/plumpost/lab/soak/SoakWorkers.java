package plumpost.lab.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import plumpost.http.AnswerEncoder;
import plumpost.http.BadMessageException;
import plumpost.http.RequestReader;
import plumpost.lab.soak.RequestRecord.AttemptEnd;
import plumpost.lab.soak.RequestRecord.AttemptRecord;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.Listener;
import plumpost.net.SelectorLoop;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/** The emulated workers of a soak: they serve, fail and reject requests, inject scheduled faults and report to the oracle. */
final class SoakWorkers {
    /** The fraction of requests that are rejected at all times, also without a fault. */
    private static final double TURNED_AWAY_FRACTION = 0.02;

    private static final double RETURNED_FRACTION = 0.01;
    private static final double FAILED_FRACTION = 0.01;
    private static final double MEAN_SERVICE_MS = 60;
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_CONNECTIONS = 10_000;
    private static final String STATS = "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\ninflight=0,queue=0,x0=4";

    private final SelectorLoop loop;
    private final TimerWheel wheel;
    private final Clock clock;
    private final Oracle oracle;
    private final SoakDiscovery discovery;
    private final SplittableRandom random;
    private final List<Worker> workers = new ArrayList<>();
    private int nextNumber;

    SoakWorkers(
            SelectorLoop loop,
            TimerWheel wheel,
            Clock clock,
            Oracle oracle,
            SoakDiscovery discovery,
            SplittableRandom random) {
        this.loop = loop;
        this.wheel = wheel;
        this.clock = clock;
        this.oracle = oracle;
        this.discovery = discovery;
        this.random = random;
    }

    /** Starts a worker; {@code bornMs} is its start as Unix time in the list, 0 for long ago. */
    Worker start(long bornMs) throws IOException {
        Worker worker = new Worker("w" + nextNumber++, bornMs);
        workers.add(worker);
        return worker;
    }

    /** Returns the workers that are neither draining nor removed. */
    List<Worker> serving() {
        return workers.stream().filter(worker -> worker.state.equals("up")).toList();
    }

    /** One worker with its own address. */
    final class Worker {
        private final String name;
        private final long bornMs;
        private final Listener listener;
        private final InetSocketAddress address;
        private final Set<WorkerConnection> connections = new LinkedHashSet<>();
        private String state = "up";
        private double hangsUntil;
        private double resetsUntil;

        private Worker(String name, long bornMs) throws IOException {
            this.name = name;
            this.bornMs = bornMs;
            InetSocketAddress anywhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            listener = loop.listen(
                    anywhere, connection -> new WorkerConnection(this, connection), MAX_CONNECTIONS, () -> false);
            address = listener.address();
        }

        String name() {
            return name;
        }

        /** Returns this worker's line of the list. */
        String line() {
            return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + address.getPort()
                    + "\",\"site\":\"p\",\"class\":\"k\",\"block\":0,\"health\":\"" + state
                    + "\",\"share\":1.0,\"born_ms\":"
                    + bornMs + "}";
        }

        boolean listed() {
            return !state.equals("removed");
        }

        /** Accepts requests without completing them for a time. */
        void hang(double forMs) {
            hangsUntil = clock.nowMs() + forMs;
        }

        /** Resets some connections while they carry a request, for a time. */
        void reset(double forMs) {
            resetsUntil = clock.nowMs() + forMs;
        }

        /** Cuts the connections that are idle now. */
        void closeIdle() {
            List.copyOf(connections).stream()
                    .filter(each -> each.attempt == null)
                    .forEach(WorkerConnection::cut);
        }

        /** Begins to drain: requests in progress are completed, and the list drops the worker {@code goneAfterMs} later. */
        void drain(double goneAfterMs) {
            state = "draining";
            discovery.publishChange(this);
            wheel.schedule(clock.nowMs() + goneAfterMs, () -> {
                state = "removed";
                discovery.publishChange(this);
            });
        }

        /** Crashes: resets its connections and refuses new ones; the list drops it {@code listedAfterMs} later. */
        void crash(double listedAfterMs) {
            listener.close();
            List.copyOf(connections).forEach(WorkerConnection::cut);
            wheel.schedule(clock.nowMs() + listedAfterMs, () -> {
                state = "removed";
                discovery.publishChange(this);
            });
        }
    }

    /** One connection from a scheduler to a worker. */
    private final class WorkerConnection implements ConnectionHandler {
        private final Worker worker;
        private final Connection connection;
        private final RequestReader reader = new RequestReader(MAX_BODY_BYTES);
        private AttemptRecord attempt;
        private double firstByteAt = Double.NaN;
        private boolean closed;

        WorkerConnection(Worker worker, Connection connection) {
            this.worker = worker;
            this.connection = connection;
            worker.connections.add(this);
        }

        @Override
        public void received(ByteBuffer in) {
            try {
                while (!closed && in.hasRemaining()) {
                    firstByteAt = Double.isNaN(firstByteAt) ? clock.nowMs() : firstByteAt;
                    if (reader.feed(in)) {
                        handleRequest();
                        reader.reset();
                        firstByteAt = Double.NaN;
                    }
                }
            } catch (BadMessageException e) {
                oracle.recordViolation(
                        Oracle.Rule.FORGED, "a scheduler sent " + worker.name + " what is no request: " + e);
                cut();
            }
        }

        private void handleRequest() {
            if (!reader.method().equals("POST")) {
                connection.write(AnswerEncoder.ascii(STATS));
                return;
            }
            RequestRecord request = oracle.findRequest(reader.head().field("X-Txn"));
            if (request == null) {
                oracle.recordViolation(Oracle.Rule.FORGED, worker.name + " got an id that no client sent lately");
                cut();
                return;
            }
            AttemptRecord received = new AttemptRecord(worker.name, firstByteAt);
            attempt = received;
            oracle.attemptBegan(request, received);
            oracle.attemptReceived(
                    request, received, Double.parseDouble(reader.head().field("X-Remaining-Ms")), clock.nowMs());
            discovery.checkSent(request, received);
            serve(request, received);
        }

        private void serve(RequestRecord request, AttemptRecord served) {
            double draw = random.nextDouble();
            if (clock.nowMs() < worker.resetsUntil && draw < 0.3) {
                wheel.schedule(clock.nowMs() + random.nextDouble() * 40, this::cut);
                return;
            }
            if (draw > 1 - TURNED_AWAY_FRACTION) {
                end(
                        served,
                        AttemptEnd.TURNED_AWAY,
                        "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            connection.write(AnswerEncoder.ascii(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(request, "\"state\":\"started\"")));
            if (clock.nowMs() < worker.hangsUntil) {
                return;
            }
            double serviceMs = -Math.log(1 - random.nextDouble()) * MEAN_SERVICE_MS;
            wheel.schedule(clock.nowMs() + serviceMs, () -> {
                if (attempt != served) {
                    return;
                }
                if (draw < RETURNED_FRACTION) {
                    end(served, AttemptEnd.TURNED_AWAY, chunk(request, "\"state\":\"returned\"") + "0\r\n\r\n");
                } else if (draw < RETURNED_FRACTION + FAILED_FRACTION) {
                    end(served, AttemptEnd.FAILED, chunk(request, "\"state\":\"failed\"") + "0\r\n\r\n");
                } else {
                    String done = "\"state\":\"done\",\"result\":\"result-" + request.id + "\"";
                    end(served, AttemptEnd.SERVED, chunk(request, done) + "0\r\n\r\n");
                }
            });
        }

        private void end(AttemptRecord ended, AttemptEnd attemptEnd, String response) {
            if (attempt == ended && !closed) {
                oracle.attemptEnded(ended, attemptEnd, clock.nowMs());
                attempt = null;
                connection.write(AnswerEncoder.ascii(response));
            }
        }

        private String chunk(RequestRecord request, String fields) {
            String line = "{\"id\":\"" + request.id + "\",\"from\":\"" + worker.name + "\"," + fields + "}\n";
            return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
        }

        private void cut() {
            if (!closed) {
                connection.closeNow();
                ended();
            }
        }

        @Override
        public void ended() {
            closed = true;
            worker.connections.remove(this);
            if (attempt != null) {
                oracle.attemptEnded(attempt, AttemptEnd.CONNECTION_ENDED, clock.nowMs());
                attempt = null;
            }
        }
    }
}
