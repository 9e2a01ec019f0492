package plumpost.lab.soak;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
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
 * Clients of a soak that behave badly: they leave while much of what they sent is unread, flood one connection with small
 * requests, come again under an id that may have run, or fill the places of a scheduler with connections that send half of
 * a large request.
 */
final class HostileClients {
    private static final int[] BYTES_BEHIND = {0, 20_000, 100_000, 400_000, 1_200_000};
    private static final int DEPARTING_CLIENTS = 8;
    private static final double MAX_STAY_MS = 600;
    private static final int PADDING_BYTES = 1_500;
    private static final int FLOOD_CHUNK_REQUESTS = 200;
    private static final double RECONNECT_MS = 20;
    private static final int REPEATED_ORDERS = 6;
    private static final double MAX_ABSENCE_MS = 2_500;
    private static final int CROWD_CONNECTIONS = 150;
    private static final int CROWD_BODY_BYTES = 60_000;
    private static final int MAX_ANSWER_BYTES = 64 * 1024;

    private final SelectorLoop loop;
    private final TimerWheel wheel;
    private final Clock clock;
    private final Oracle oracle;
    private final SplittableRandom random;
    private long sent;

    HostileClients(SelectorLoop loop, TimerWheel wheel, Clock clock, Oracle oracle, SplittableRandom random) {
        this.loop = loop;
        this.wheel = wheel;
        this.clock = clock;
        this.oracle = oracle;
        this.random = random;
    }

    private String newId() {
        return "h" + sent++;
    }

    private static String request(RequestRecord record, int paddingBytes) {
        String body = "b".repeat(4 + paddingBytes);
        return "POST /" + record.requestClass.path() + " HTTP/1.1\r\nHost: s\r\nX-Txn: " + record.id
                + "\r\nX-Remaining-Ms: " + (long) record.remainingMs + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private RequestRecord newRecord(SchedulerRun run, RequestClass requestClass) {
        RequestRecord record = new RequestRecord(newId(), requestClass, run, requestClass.deadlineMs(), true);
        record.sentAt = clock.nowMs();
        oracle.requestSent(record);
        return record;
    }

    // ---- leaving ----

    /** Lets some clients send a request with more behind it, and leave before it is answered. */
    void depart(SchedulerRun run) {
        if (!run.acceptsNewConnections(clock.nowMs())) {
            return;
        }
        for (int i = 0; i < DEPARTING_CLIENTS; i++) {
            RequestClass requestClass = random.nextBoolean() ? RequestClass.PLAN : RequestClass.ORDER;
            int bytesBehind = BYTES_BEHIND[random.nextInt(BYTES_BEHIND.length)];
            new DepartingClient(run, requestClass, bytesBehind, random.nextBoolean());
        }
    }

    /** A client that sends requests one behind the other, ignores the answers and leaves. */
    private final class DepartingClient implements ConnectionHandler {
        private final SchedulerRun run;
        private final Connection connection;
        private final RequestClass requestClass;
        private final int bytesBehind;
        private final boolean halfCloses;
        private final List<RequestRecord> records = new ArrayList<>();
        private boolean ended;

        DepartingClient(SchedulerRun run, RequestClass requestClass, int bytesBehind, boolean halfCloses) {
            this.run = run;
            this.requestClass = requestClass;
            this.bytesBehind = bytesBehind;
            this.halfCloses = halfCloses;
            connection = loop.dial(run.front, made -> this);
        }

        @Override
        public void opened() {
            StringBuilder requests = new StringBuilder();
            do {
                RequestRecord record = newRecord(run, requestClass);
                records.add(record);
                requests.append(request(record, records.size() == 1 ? 0 : PADDING_BYTES));
            } while (requests.length() < bytesBehind);
            connection.write(AnswerEncoder.ascii(requests.toString()));
            wheel.schedule(clock.nowMs() + random.nextDouble() * MAX_STAY_MS, this::leave);
        }

        private void leave() {
            if (ended) {
                return;
            }
            markAsLeft();
            if (halfCloses && connection.flushed()) {
                connection.finish();
            } else {
                connection.closeNow();
            }
        }

        /** What was answered is not distinguished, since the client reads nothing: all of it is as if it had left. */
        private void markAsLeft() {
            ended = true;
            records.forEach(record -> record.clientLeftAt = clock.nowMs());
            oracle.count("hostile.departed");
        }

        @Override
        public void received(ByteBuffer received) {
            received.position(received.limit());
        }

        @Override
        public void ended() {
            if (!ended) {
                markAsLeft();
            }
        }
    }

    // ---- flooding ----

    /** Lets one client send small requests on one connection without a pause for a time. */
    void flood(SchedulerRun run, double forMs) {
        int kind = random.nextInt(3);
        String request =
                switch (kind) {
                    case 0 -> "GET /health/live HTTP/1.1\r\nHost: s\r\n\r\n";
                    case 1 ->
                        "POST /plan HTTP/1.1\r\nHost: s\r\nX-Txn: f\r\nX-Remaining-Ms: 0\r\nContent-Length: 0\r\n\r\n";
                    default -> "GET /plan" + random.nextInt() + " HTTP/1.1\r\nHost: s\r\n\r\n";
                };
        startFlooding(run, request, clock.nowMs() + forMs);
    }

    private void startFlooding(SchedulerRun run, String request, double endMs) {
        if (clock.nowMs() < endMs && run.acceptsNewConnections(clock.nowMs())) {
            new FloodingClient(run, request, endMs);
        }
    }

    /** A client that writes again as soon as its last bytes are taken, and connects again when it is turned away. */
    private final class FloodingClient implements ConnectionHandler {
        private final SchedulerRun run;
        private final String request;
        private final double endMs;
        private final Connection connection;

        FloodingClient(SchedulerRun run, String request, double endMs) {
            this.run = run;
            this.request = request;
            this.endMs = endMs;
            connection = loop.dial(run.front, made -> this);
        }

        @Override
        public void opened() {
            writeChunk();
        }

        private void writeChunk() {
            connection.write(AnswerEncoder.ascii(request.repeat(FLOOD_CHUNK_REQUESTS)));
        }

        @Override
        public void flushed() {
            if (clock.nowMs() > endMs) {
                connection.closeNow();
                return;
            }
            wheel.schedule(clock.nowMs(), this::writeChunk); // a later tick, so that the laboratory itself goes on
        }

        @Override
        public void received(ByteBuffer received) {
            received.position(received.limit());
        }

        @Override
        public void ended() {
            oracle.count("hostile.flood_ended");
            wheel.schedule(clock.nowMs() + RECONNECT_MS, () -> startFlooding(run, request, endMs));
        }
    }

    // ---- coming again ----

    /** Lets some clients hand an order in, leave, and come again under the same id a little later. */
    void comeAgain(SchedulerRun run) {
        if (!run.acceptsNewConnections(clock.nowMs())) {
            return;
        }
        for (int i = 0; i < REPEATED_ORDERS; i++) {
            RequestRecord record = newRecord(run, RequestClass.ORDER);
            RepeatingClient first = new RepeatingClient(record);
            wheel.schedule(clock.nowMs() + 50 + random.nextDouble() * 400, first::leave);
            double absenceMs = 100 + random.nextDouble() * MAX_ABSENCE_MS;
            wheel.schedule(clock.nowMs() + 450 + absenceMs, () -> comeAgain(run, record));
        }
    }

    private void comeAgain(SchedulerRun run, RequestRecord record) {
        if (run.hasEnded() || run.wasTerminated() || record.answered()) {
            return; // only a process that is still the same can know the id
        }
        record.clientLeftAt = Double.NaN;
        record.closedUnansweredAt = Double.NaN;
        record.sentAt = clock.nowMs();
        oracle.requestSent(record);
        oracle.count("hostile.came_again");
        new RepeatingClient(record);
    }

    /** A client that hands one order in, and waits for the answer unless it leaves before. */
    private final class RepeatingClient implements ConnectionHandler {
        private final RequestRecord record;
        private final Connection connection;
        private final AnswerReader reader = new AnswerReader(MAX_ANSWER_BYTES);
        private boolean ended;

        /** Whether the request may have run when this client sent it, so that it is not sound. */
        private final boolean unsound;

        RepeatingClient(RequestRecord record) {
            this.record = record;
            unsound = record.attempts.stream().anyMatch(RequestRecord.AttemptRecord::mayHaveRun);
            connection = loop.dial(record.schedulerRun.front, made -> this);
        }

        @Override
        public void opened() {
            connection.write(AnswerEncoder.ascii(request(record, 0)));
        }

        void leave() {
            if (!ended) {
                ended = true;
                record.clientLeftAt = clock.nowMs();
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
                return;
            }
            ended = true;
            if (unsound && reader.status() == 200) {
                oracle.recordViolation(Oracle.Rule.UNSOUND_SERVED, record + " came again and was served");
            }
            byte[] body = new byte[reader.body().remaining()];
            reader.body().duplicate().get(body);
            oracle.answered(record, reader.status(), new String(body, StandardCharsets.UTF_8), clock.nowMs());
            connection.finish();
        }

        @Override
        public void ended() {
            if (!ended) {
                record.closedUnansweredAt = clock.nowMs();
            }
            ended = true;
        }
    }

    // ---- crowding ----

    /** Fills many places of a scheduler with connections that idle or send half of a large request, for a time. */
    void crowd(SchedulerRun run, double forMs) {
        if (!run.acceptsNewConnections(clock.nowMs())) {
            return;
        }
        for (int i = 0; i < CROWD_CONNECTIONS; i++) {
            boolean sendsHalf = i % 2 == 0;
            Connection connection = loop.dial(run.front, made -> new CrowdingClient(made, sendsHalf));
            wheel.schedule(clock.nowMs() + forMs, connection::closeNow);
        }
        oracle.count("hostile.crowds");
    }

    /** A client that sends nothing, or half of a request. */
    private record CrowdingClient(Connection connection, boolean sendsHalf) implements ConnectionHandler {
        @Override
        public void opened() {
            if (sendsHalf) {
                connection.write(AnswerEncoder.ascii("POST /plan HTTP/1.1\r\nHost: s\r\nX-Txn: c\r\nContent-Length: "
                        + CROWD_BODY_BYTES + "\r\n\r\n" + "x".repeat(CROWD_BODY_BYTES / 2)));
            }
        }

        @Override
        public void received(ByteBuffer received) {
            received.position(received.limit());
        }

        @Override
        public void ended() {}
    }
}
