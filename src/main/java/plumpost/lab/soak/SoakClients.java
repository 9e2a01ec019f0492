package plumpost.lab.soak;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import plumpost.http.AnswerEncoder;
import plumpost.http.AnswerReader;
import plumpost.http.BadMessageException;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.SelectorLoop;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/**
 * The clients of a soak: each sends one request at a time over a persistent connection. Some send a request in two parts,
 * disconnect early, have a short deadline, or stop in the middle of a request and keep the connection open.
 */
final class SoakClients {
    private static final int MAX_CONNECTIONS = 150;
    private static final int MAX_ANSWER_BYTES = 64 * 1024;
    private static final double LEAVE_FRACTION = 0.03;
    private static final double SPLIT_FRACTION = 0.15;
    private static final double VERY_SHORT_DEADLINE_FRACTION = 0.02;
    private static final double SHORT_DEADLINE_FRACTION = 0.1;
    private static final double STALL_FRACTION = 0.01;
    /** A stalled client must get an error or be disconnected within this time. */
    private static final double STALL_TIMEOUT_MS = 3_000;

    /** Tolerance for the interval of the sweep that closes stalled connections and for one hold-up. */
    private static final double STALL_TIMEOUT_SLACK_MS = 300;

    private final SelectorLoop loop;
    private final TimerWheel wheel;
    private final Clock clock;
    private final Oracle oracle;
    private final SplittableRandom random;
    private final double requestsPerSecond;
    private final Map<Integer, SchedulerRun> currentRuns = new HashMap<>();
    private final Map<SchedulerRun, List<Client>> clients = new HashMap<>();
    private boolean sending = true;
    private long sent;

    SoakClients(
            SelectorLoop loop,
            TimerWheel wheel,
            Clock clock,
            Oracle oracle,
            SplittableRandom random,
            double requestsPerSecond) {
        this.loop = loop;
        this.wheel = wheel;
        this.clock = clock;
        this.oracle = oracle;
        this.random = random;
        this.requestsPerSecond = requestsPerSecond;
    }

    /** Sends requests to a scheduler at random times, to whichever of its processes is current. */
    void startFor(int scheduler) {
        double gap = -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
        wheel.schedule(clock.nowMs() + gap, () -> {
            if (sending) {
                startFor(scheduler);
                SchedulerRun schedulerRun = currentRuns.get(scheduler);
                if (schedulerRun != null && !schedulerRun.hasEnded()) {
                    send(schedulerRun);
                }
            }
        });
    }

    /** Directs new requests for a scheduler to the front of this process. */
    void onReady(SchedulerRun schedulerRun) {
        currentRuns.put(schedulerRun.scheduler, schedulerRun);
        clients.put(schedulerRun, new ArrayList<>());
    }

    void stop() {
        sending = false;
    }

    private void send(SchedulerRun schedulerRun) {
        List<Client> runClients = clients.get(schedulerRun);
        Client client = runClients.stream().filter(Client::idle).findFirst().orElse(null);
        boolean newAllowed = schedulerRun.acceptsNewConnections(clock.nowMs());
        if (client == null && newAllowed && runClients.size() < MAX_CONNECTIONS) {
            client = new Client(schedulerRun);
            runClients.add(client);
        }
        boolean anyClass = !schedulerRun.classes.at(clock.nowMs()).isEmpty();
        if (client != null && anyClass) {
            client.sendRequest();
        }
    }

    /** One client and its connection. */
    private final class Client implements ConnectionHandler {
        private final SchedulerRun schedulerRun;
        private final Connection connection;
        private final AnswerReader reader = new AnswerReader(MAX_ANSWER_BYTES);
        private boolean opened;
        private boolean closed;
        private boolean used;
        private boolean stalled;
        private RequestRecord request;
        private ByteBuffer[] pieces;

        Client(SchedulerRun schedulerRun) {
            this.schedulerRun = schedulerRun;
            connection = loop.dial(schedulerRun.front, made -> this);
        }

        boolean idle() {
            return opened && !closed && !stalled && request == null;
        }

        void sendRequest() {
            double draw = random.nextDouble();
            List<RequestClass> classes = schedulerRun.classes.at(clock.nowMs());
            RequestClass requestClass = classes.get(random.nextInt(classes.size()));
            double remaining = draw < VERY_SHORT_DEADLINE_FRACTION
                    ? Math.floor(random.nextDouble() * 50)
                    : draw < SHORT_DEADLINE_FRACTION
                            ? 200 + Math.floor(random.nextDouble() * 800)
                            : requestClass.deadlineMs();
            request = new RequestRecord("r" + sent++, requestClass, schedulerRun, remaining, !used);
            used = true;
            String text = "POST /" + requestClass.path() + " HTTP/1.1\r\nHost: s\r\nX-Txn: " + request.id
                    + "\r\nX-Remaining-Ms: " + (long) remaining + "\r\nContent-Length: 4\r\n\r\nbody";
            boolean inPieces = random.nextDouble() < SPLIT_FRACTION;
            int cut = inPieces ? 1 + random.nextInt(text.length() - 1) : 0;
            pieces = new ByteBuffer[] {
                AnswerEncoder.ascii(text.substring(0, cut)), AnswerEncoder.ascii(text.substring(cut))
            };
            if (opened) {
                write();
            }
        }

        @Override
        public void opened() {
            opened = true;
            if (request != null) {
                write();
            }
        }

        private void write() {
            if (random.nextDouble() < STALL_FRACTION) {
                stopMidway();
                return;
            }
            RequestRecord current = request;
            connection.write(pieces[0]);
            double gap = pieces[0].hasRemaining() ? random.nextDouble() * 200 : 0;
            if (gap == 0) {
                writeLast(current);
            } else {
                wheel.schedule(clock.nowMs() + gap, () -> writeLast(current));
            }
        }

        private void writeLast(RequestRecord sentRequest) {
            if (closed || request != sentRequest) {
                return;
            }
            sentRequest.sentAt = clock.nowMs();
            oracle.requestSent(sentRequest);
            connection.write(pieces[1]);
            boolean leaves = random.nextDouble() < LEAVE_FRACTION;
            double patience = leaves ? random.nextDouble() * 500 : sentRequest.remainingMs + 1_000;
            wheel.schedule(clock.nowMs() + patience, () -> leave(sentRequest));
        }

        /** Sends an incomplete request and checks that the scheduler answers or closes the connection in time. */
        private void stopMidway() {
            connection.write(AnswerEncoder.ascii("POST /plan HTTP/1.1\r\nHost: s\r\nContent-Len"));
            stalled = true;
            request = null;
            double since = clock.nowMs();
            wheel.schedule(since + STALL_TIMEOUT_MS + STALL_TIMEOUT_SLACK_MS, () -> {
                if (!closed && !schedulerRun.hasEnded()) {
                    oracle.recordViolation(
                            Oracle.Rule.STALLED,
                            "a client that stopped midway at " + Math.round(since) + ", " + schedulerRun);
                    connection.closeNow();
                    closed = true;
                }
            });
        }

        private void leave(RequestRecord abandoned) {
            if (!closed && request == abandoned) {
                abandoned.clientLeftAt = clock.nowMs();
                connection.closeNow();
                closed = true;
                clients.get(schedulerRun).remove(this);
            }
        }

        @Override
        public void received(ByteBuffer in) {
            try {
                if (!reader.feed(in)) {
                    return;
                }
            } catch (BadMessageException e) {
                oracle.recordViolation(Oracle.Rule.FORGED, "a client got what is no answer: " + e);
                connection.closeNow();
                ended();
                return;
            }
            byte[] body = new byte[reader.body().remaining()];
            reader.body().duplicate().get(body);
            RequestRecord answered = request;
            request = null;
            boolean keepAlive = reader.keepsConnection();
            if (answered != null && !Double.isNaN(answered.sentAt)) {
                oracle.answered(answered, reader.status(), new String(body, StandardCharsets.UTF_8), clock.nowMs());
            }
            reader.reset();
            if (!keepAlive || stalled) {
                connection.finish();
                closed = true;
                clients.get(schedulerRun).remove(this);
            }
        }

        @Override
        public void ended() {
            closed = true;
            clients.get(schedulerRun).remove(this);
            if (request != null && !Double.isNaN(request.sentAt)) {
                request.closedUnansweredAt = clock.nowMs();
            }
            request = null;
        }
    }
}
