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
import plumpost.http.Answers;
import plumpost.http.BadMessage;
import plumpost.http.RequestReader;
import plumpost.lab.soak.RequestRecord.AttemptEnd;
import plumpost.lab.soak.RequestRecord.AttemptRecord;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.SelectorLoop;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/** The workers of a soak: they serve, fail, turn away and misbehave as the schedule of faults wants, and tell the oracle. */
final class SoakWorkers {
    /** Parts of requests that end otherwise than served, at every time. */
    private static final double TURNED_AWAY_PART = 0.02;

    private static final double RETURNED_PART = 0.01;
    private static final double FAILED_PART = 0.01;
    private static final double SERVICE_MS = 60;
    private static final int BODY_LIMIT = 64 * 1024;
    private static final int MOST_CONNECTIONS = 10_000;
    private static final String STATS = "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\ninflight=0,queue=0,x0=4";

    private final SelectorLoop loop;
    private final TimerWheel wheel;
    private final Clock clock;
    private final Oracle oracle;
    private final SoakDiscovery discovery;
    private final SplittableRandom random;
    private final List<Worker> all = new ArrayList<>();
    private int named;

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

    /** Starts a worker; {@code bornMs} is the Unix time that the list tells, 0 for long ago. */
    Worker start(long bornMs) throws IOException {
        Worker worker = new Worker("w" + named++, bornMs);
        all.add(worker);
        return worker;
    }

    /** The workers that serve and do not drain. */
    List<Worker> up() {
        return all.stream().filter(worker -> worker.state.equals("up")).toList();
    }

    /** One worker at an address of its own. */
    final class Worker {
        private final String name;
        private final long bornMs;
        private final SelectorLoop.Listener listener;
        private final InetSocketAddress address;
        private final Set<Served> connections = new LinkedHashSet<>();
        private String state = "up";
        private double hangsUntil;
        private double resetsUntil;

        private Worker(String name, long bornMs) throws IOException {
            this.name = name;
            this.bornMs = bornMs;
            InetSocketAddress anywhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            listener = loop.listen(anywhere, connection -> new Served(this, connection), MOST_CONNECTIONS, () -> false);
            address = listener.address();
        }

        String name() {
            return name;
        }

        /** Its line of the list. */
        String line() {
            return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + address.getPort()
                    + "\",\"site\":\"p\",\"class\":\"k\",\"block\":0,\"health\":\"" + state
                    + "\",\"share\":1.0,\"born_ms\":"
                    + bornMs + "}";
        }

        boolean listed() {
            return !state.equals("removed");
        }

        /** Takes requests and ends none of them, for a while. */
        void hang(double forMs) {
            hangsUntil = clock.nowMs() + forMs;
        }

        /** Resets some connections under their requests, and closes some that idle, for a while. */
        void reset(double forMs) {
            resetsUntil = clock.nowMs() + forMs;
        }

        /** Closes its idle connections at this moment. */
        void closeIdle() {
            List.copyOf(connections).stream()
                    .filter(each -> each.attempt == null)
                    .forEach(Served::cut);
        }

        /** Begins to drain: what it has it still ends; it is gone {@code goneAfterMs} later. */
        void drain(double goneAfterMs) {
            state = "draining";
            discovery.changed(this);
            wheel.at(clock.nowMs() + goneAfterMs, () -> {
                state = "removed";
                discovery.changed(this);
            });
        }

        /** Dies: its connections are reset and new ones refused; the list tells some time later. */
        void crash(double toldAfterMs) {
            listener.close();
            List.copyOf(connections).forEach(Served::cut);
            wheel.at(clock.nowMs() + toldAfterMs, () -> {
                state = "removed";
                discovery.changed(this);
            });
        }
    }

    /** One connection to a worker. */
    private final class Served implements ConnectionHandler {
        private final Worker worker;
        private final Connection connection;
        private final RequestReader reader = new RequestReader(BODY_LIMIT);
        private AttemptRecord attempt;
        private double firstByteAt = Double.NaN;
        private boolean over;

        Served(Worker worker, Connection connection) {
            this.worker = worker;
            this.connection = connection;
            worker.connections.add(this);
        }

        @Override
        public void bytes(ByteBuffer in) {
            try {
                while (!over && in.hasRemaining()) {
                    firstByteAt = Double.isNaN(firstByteAt) ? clock.nowMs() : firstByteAt;
                    if (reader.feed(in)) {
                        request();
                        reader.next();
                        firstByteAt = Double.NaN;
                    }
                }
            } catch (BadMessage e) {
                oracle.violated(Oracle.Rule.FORGED, "a scheduler sent " + worker.name + " what is no request: " + e);
                cut();
            }
        }

        private void request() {
            if (!reader.method().equals("POST")) {
                connection.write(Answers.ascii(STATS));
                return;
            }
            RequestRecord request = oracle.request(reader.head().field("X-Txn"));
            if (request == null) {
                oracle.violated(Oracle.Rule.FORGED, worker.name + " got an id that no client sent lately");
                cut();
                return;
            }
            AttemptRecord began = new AttemptRecord(worker.name, firstByteAt);
            attempt = began;
            oracle.attemptBegan(request, began);
            oracle.attemptWhole(
                    request, began, Double.parseDouble(reader.head().field("X-Remaining-Ms")), clock.nowMs());
            discovery.checkSent(request, began);
            serve(request, began);
        }

        private void serve(RequestRecord request, AttemptRecord began) {
            double draw = random.nextDouble();
            if (clock.nowMs() < worker.resetsUntil && draw < 0.3) {
                wheel.at(clock.nowMs() + random.nextDouble() * 40, this::cut);
                return;
            }
            if (draw > 1 - TURNED_AWAY_PART) {
                end(
                        began,
                        AttemptEnd.TURNED_AWAY,
                        "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            connection.write(Answers.ascii(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(request, "\"state\":\"started\"")));
            if (clock.nowMs() < worker.hangsUntil) {
                return;
            }
            double serviceMs = -Math.log(1 - random.nextDouble()) * SERVICE_MS;
            wheel.at(clock.nowMs() + serviceMs, () -> {
                if (attempt != began) {
                    return;
                }
                if (draw < RETURNED_PART) {
                    end(began, AttemptEnd.TURNED_AWAY, chunk(request, "\"state\":\"returned\"") + "0\r\n\r\n");
                } else if (draw < RETURNED_PART + FAILED_PART) {
                    end(began, AttemptEnd.FAILED, chunk(request, "\"state\":\"failed\"") + "0\r\n\r\n");
                } else {
                    String done = "\"state\":\"done\",\"result\":\"result-" + request.id + "\"";
                    end(began, AttemptEnd.SERVED, chunk(request, done) + "0\r\n\r\n");
                }
            });
        }

        private void end(AttemptRecord ended, AttemptEnd how, String words) {
            if (attempt == ended && !over) {
                oracle.attemptEnded(ended, how, clock.nowMs());
                attempt = null;
                connection.write(Answers.ascii(words));
            }
        }

        private String chunk(RequestRecord request, String fields) {
            String line = "{\"id\":\"" + request.id + "\",\"from\":\"" + worker.name + "\"," + fields + "}\n";
            return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
        }

        private void cut() {
            if (!over) {
                connection.cut();
                ended();
            }
        }

        @Override
        public void ended() {
            over = true;
            worker.connections.remove(this);
            if (attempt != null) {
                oracle.attemptEnded(attempt, AttemptEnd.CONNECTION_ENDED, clock.nowMs());
                attempt = null;
            }
        }
    }
}
