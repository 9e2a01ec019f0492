package plumpost.lab.soak;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import plumpost.http.AnswerEncoder;
import plumpost.http.AnswerReader;
import plumpost.http.BadMessageException;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.SelectorLoop;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/**
 * Clients of a soak that send requests which are not sound: under the id of another client's open request, or of a form that the
 * protocol does not allow. Each is owed an error or a close; some send the same again as soon as they are turned away.
 */
final class BadClients {
    private static final int CLIENTS = 10;
    private static final double STRANGER_FRACTION = 0.5;
    private static final int MAX_REPEATS = 2;
    private static final int MAX_ANSWER_BYTES = 64 * 1024;
    private static final double ANSWER_WITHIN_MS = 3_000;
    /** Tolerance for the interval of the sweep that closes stalled connections and for one hold-up. */
    private static final double ANSWER_SLACK_MS = 300;

    private static final String START = "POST /plan HTTP/1.1\r\nHost: s\r\n";
    private static final String BODY = "Content-Length: 1\r\n\r\nx";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    /** Requests that are not sound, as functions of the header line with their id. */
    private static final List<Function<String, String>> FORMS = List.of(
            id -> "what can't be read\r\n\r\n",
            id -> START + BODY,
            id -> START + id + "X-Txn: other\r\n" + BODY,
            id -> "POST /none HTTP/1.1\r\nHost: s\r\n" + id + BODY,
            id -> START + "Host: t\r\n" + id + BODY,
            id -> START.replace("/plan", "/plan?{a}") + id + BODY,
            id -> START + id + "X-Remaining-Ms: soon\r\n" + BODY,
            id -> START + id + "X-Remaining-Ms: 500\r\nX-Remaining-Ms: 900\r\n" + BODY,
            id -> START + id + "X-Lane: plan\r\nX-Lane: order\r\n" + BODY,
            id -> START + id + "X-Estimate: -1\r\n" + BODY,
            id -> START + id + "X-Labels: a=1,a=2\r\n" + BODY,
            id -> START + id + "Content-Length: -1\r\n\r\nx",
            id -> START + id + "Content-Length: 99999999999999999999\r\n\r\nx",
            id -> START + id + "Content-Length: 3\r\n\r\n{\"a\":1}",
            id -> START + id + "Content-Length: 3\r\n" + CHUNKED + "0\r\n\r\n",
            id -> START + id + CHUNKED + "1 rubbish\r\nx\r\n0\r\n\r\n",
            id -> START + id + CHUNKED + "1\r\nx\r\n0\r\nno trailer\r\n\r\n",
            id -> START + id + "Content-Length: 10\r\n\r\nhalf");

    private final SelectorLoop loop;
    private final TimerWheel wheel;
    private final Clock clock;
    private final Oracle oracle;
    private final SplittableRandom random;
    private long sent;

    BadClients(SelectorLoop loop, TimerWheel wheel, Clock clock, Oracle oracle, SplittableRandom random) {
        this.loop = loop;
        this.wheel = wheel;
        this.clock = clock;
        this.oracle = oracle;
        this.random = random;
    }

    /** Lets some clients send a bad request each. */
    void play(SchedulerRun run) {
        if (!run.acceptsNewConnections(clock.nowMs())) {
            return;
        }
        List<RequestRecord> running = oracle.findRunning(run);
        for (int i = 0; i < CLIENTS; i++) {
            boolean stranger = !running.isEmpty() && random.nextDouble() < STRANGER_FRACTION;
            RequestRecord owner = stranger ? running.get(random.nextInt(running.size())) : null;
            String request = stranger ? underIdOf(owner) : form(random.nextInt(FORMS.size()));
            oracle.count(stranger ? "bad.strangers" : "bad.forms");
            new BadClient(run, owner, request, random.nextInt(MAX_REPEATS + 1));
        }
    }

    private String underIdOf(RequestRecord request) {
        return "POST /" + request.requestClass.path() + " HTTP/1.1\r\nHost: s\r\nX-Txn: " + request.id + "\r\n"
                + (random.nextBoolean() ? BODY : "Content-Length: 4\r\n\r\nbody");
    }

    private String form(int number) {
        return FORMS.get(number).apply("X-Txn: bad" + sent++ + "\r\n");
    }

    /** A client that sends one bad request, and again when it is turned away, a few times. */
    private final class BadClient implements ConnectionHandler {
        private final SchedulerRun run;
        /** The request whose id is used, or null. */
        private final RequestRecord owner;

        private final String request;
        private final int repeats;
        private final Connection connection;
        private final AnswerReader reader = new AnswerReader(MAX_ANSWER_BYTES);
        private boolean ended;

        BadClient(SchedulerRun run, RequestRecord owner, String request, int repeats) {
            this.run = run;
            this.owner = owner;
            this.request = request;
            this.repeats = repeats;
            connection = loop.dial(run.front, made -> this);
            wheel.schedule(clock.nowMs() + ANSWER_WITHIN_MS + ANSWER_SLACK_MS, this::checkAnswered);
        }

        @Override
        public void opened() {
            connection.write(AnswerEncoder.ascii(request));
        }

        private void checkAnswered() {
            if (!ended && !run.hasEnded()) {
                oracle.recordViolation(Oracle.Rule.STALLED, "a bad request got no answer, " + run + ": " + request);
            }
            if (!ended) {
                ended = true;
                connection.closeNow();
            }
        }

        @Override
        public void received(ByteBuffer received) {
            try {
                if (!reader.feed(received)) {
                    return;
                }
            } catch (BadMessageException e) {
                oracle.recordViolation(Oracle.Rule.FORGED, "a client got what is no answer: " + e);
            }
            if (reader.hasHead() && reader.status() < 400 && isUnsound()) {
                oracle.recordViolation(
                        Oracle.Rule.UNSOUND_SERVED, "answered " + reader.status() + ", " + run + ": " + request);
            }
            oracle.count("bad.errors");
            connection.finish();
            end();
        }

        @Override
        public void ended() {
            end();
        }

        /** Returns whether the id is still known: its owner has not left, or it may have run. */
        private boolean isUnsound() {
            return owner == null
                    || Double.isNaN(owner.clientLeftAt) && Double.isNaN(owner.closedUnansweredAt)
                    || owner.attempts.stream().anyMatch(RequestRecord.AttemptRecord::mayHaveRun);
        }

        private void end() {
            if (ended) {
                return;
            }
            ended = true;
            if (repeats > 0 && run.acceptsNewConnections(clock.nowMs())) {
                new BadClient(run, owner, request, repeats - 1);
            }
        }
    }
}
