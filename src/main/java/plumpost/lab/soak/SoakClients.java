package plumpost.lab.soak;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import plumpost.http.AnswerReader;
import plumpost.http.Answers;
import plumpost.http.BadMessage;
import plumpost.lab.soak.RequestRecord.RequestClass;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.SelectorLoop;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/**
 * The clients of a soak: each sends one request at a time on a connection that it keeps. Some write in pieces, leave early, have
 * little time left, or stop in the middle of a request and stay.
 */
final class SoakClients {
    private static final int MOST_CONNECTIONS = 150;
    private static final int ANSWER_LIMIT = 64 * 1024;
    /** The front lets new connections come for so long after SIGTERM. */
    private static final double NEW_CONNECTIONS_MS = 300;

    private static final double LEAVES_PART = 0.03;
    private static final double PIECES_PART = 0.15;
    private static final double LITTLE_TIME_PART = 0.02;
    private static final double SHORT_TIME_PART = 0.1;
    private static final double STOPS_PART = 0.01;
    /** Bad clients are owed an error or the end of their connection within this, with the sweep's and a hold-up's slack. */
    private static final double STALLED_MS = 3_000;

    private static final double STALLED_SLACK_MS = 300;

    private final SelectorLoop loop;
    private final TimerWheel wheel;
    private final Clock clock;
    private final Oracle oracle;
    private final SplittableRandom random;
    private final double requestsPerSecond;
    private final Map<Integer, SchedulerLife> lives = new HashMap<>();
    private final Map<SchedulerLife, List<Client>> clients = new HashMap<>();
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

    /** Begins to send to a scheduler, whichever of its lives is up. */
    void startFor(int scheduler) {
        double gap = -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
        wheel.at(clock.nowMs() + gap, () -> {
            if (sending) {
                startFor(scheduler);
                SchedulerLife life = lives.get(scheduler);
                if (life != null && !life.over()) {
                    send(life);
                }
            }
        });
    }

    /** From now on a scheduler is reached at the front of this life. */
    void up(SchedulerLife life) {
        lives.put(life.scheduler, life);
        clients.put(life, new ArrayList<>());
    }

    void stop() {
        sending = false;
    }

    private void send(SchedulerLife life) {
        List<Client> all = clients.get(life);
        Client client = all.stream().filter(Client::idle).findFirst().orElse(null);
        boolean newAllowed = !life.terminated() || clock.nowMs() < life.terminatedAt + NEW_CONNECTIONS_MS;
        if (client == null && newAllowed && all.size() < MOST_CONNECTIONS) {
            client = new Client(life);
            all.add(client);
        }
        if (client != null) {
            client.request();
        }
    }

    /** One connection of a client. */
    private final class Client implements ConnectionHandler {
        private final SchedulerLife life;
        private final Connection connection;
        private final AnswerReader reader = new AnswerReader(ANSWER_LIMIT);
        private boolean opened;
        private boolean over;
        private boolean used;
        private boolean stalled;
        private RequestRecord request;
        private ByteBuffer[] pieces;

        Client(SchedulerLife life) {
            this.life = life;
            connection = loop.dial(life.front, made -> this);
        }

        boolean idle() {
            return opened && !over && !stalled && request == null;
        }

        void request() {
            double draw = random.nextDouble();
            RequestClass[] classes = RequestClass.values();
            RequestClass wanted = classes[random.nextInt(classes.length)];
            double remaining = draw < LITTLE_TIME_PART
                    ? Math.floor(random.nextDouble() * 50)
                    : draw < SHORT_TIME_PART ? 200 + Math.floor(random.nextDouble() * 800) : wanted.deadlineMs();
            request = new RequestRecord("r" + sent++, wanted, life, remaining, !used);
            used = true;
            String text = "POST /" + wanted.path() + " HTTP/1.1\r\nHost: s\r\nX-Txn: " + request.id
                    + "\r\nX-Remaining-Ms: " + (long) remaining + "\r\nContent-Length: 4\r\n\r\nbody";
            boolean inPieces = random.nextDouble() < PIECES_PART;
            int cut = inPieces ? 1 + random.nextInt(text.length() - 1) : 0;
            pieces = new ByteBuffer[] {Answers.ascii(text.substring(0, cut)), Answers.ascii(text.substring(cut))};
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
            if (random.nextDouble() < STOPS_PART) {
                stopMidway();
                return;
            }
            RequestRecord mine = request;
            connection.write(pieces[0]);
            double gap = pieces[0].hasRemaining() ? random.nextDouble() * 200 : 0;
            if (gap == 0) {
                writeLast(mine);
            } else {
                wheel.at(clock.nowMs() + gap, () -> writeLast(mine));
            }
        }

        private void writeLast(RequestRecord mine) {
            if (over || request != mine) {
                return;
            }
            mine.wholeAt = clock.nowMs();
            oracle.sending(mine);
            connection.write(pieces[1]);
            boolean leaves = random.nextDouble() < LEAVES_PART;
            double patience = leaves ? random.nextDouble() * 500 : mine.remainingMs + 1_000;
            wheel.at(clock.nowMs() + patience, () -> leave(mine));
        }

        /** Half a request, and nothing more: answered or closed in time. */
        private void stopMidway() {
            connection.write(Answers.ascii("POST /plan HTTP/1.1\r\nHost: s\r\nContent-Len"));
            stalled = true;
            request = null;
            double since = clock.nowMs();
            wheel.at(since + STALLED_MS + STALLED_SLACK_MS, () -> {
                if (!over && !life.over()) {
                    oracle.violated(
                            Oracle.Rule.STALLED, "a client that stopped midway at " + Math.round(since) + ", " + life);
                    connection.cut();
                    over = true;
                }
            });
        }

        private void leave(RequestRecord mine) {
            if (!over && request == mine) {
                mine.leftAt = clock.nowMs();
                connection.cut();
                over = true;
                clients.get(life).remove(this);
            }
        }

        @Override
        public void bytes(ByteBuffer in) {
            try {
                if (!reader.feed(in)) {
                    return;
                }
            } catch (BadMessage e) {
                oracle.violated(Oracle.Rule.FORGED, "a client got what is no answer: " + e);
                connection.cut();
                ended();
                return;
            }
            byte[] body = new byte[reader.body().remaining()];
            reader.body().duplicate().get(body);
            RequestRecord mine = request;
            request = null;
            boolean keeps = reader.keeps();
            if (mine != null && !Double.isNaN(mine.wholeAt)) {
                oracle.answered(mine, reader.status(), new String(body, StandardCharsets.UTF_8), clock.nowMs());
            }
            reader.next();
            if (!keeps || stalled) {
                connection.finish();
                over = true;
                clients.get(life).remove(this);
            }
        }

        @Override
        public void ended() {
            over = true;
            clients.get(life).remove(this);
            if (request != null && !Double.isNaN(request.wholeAt)) {
                request.closedUnansweredAt = clock.nowMs();
            }
            request = null;
        }
    }
}
