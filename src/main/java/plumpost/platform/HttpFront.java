package plumpost.platform;

import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.config.LoadReports;
import plumpost.decision.Dispatcher.JobClass;
import plumpost.dispatch.DispatchCore;
import plumpost.dispatch.JobRequest;
import plumpost.dispatch.OpenJob;
import plumpost.dispatch.ReplyTo;
import plumpost.http.Answers;
import plumpost.http.BadMessage;
import plumpost.http.RequestReader;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.time.TimerWheel;

/** The thin front for the platform's protocol: front desks hand jobs in by HTTP and wait for the answer. */
final class HttpFront {
    /** Fields that a link to a route node words itself; all others pass on, such as the key under which it drops repeats. */
    private static final Set<String> REWORDED = Set.of("x-txn", "x-lane", "x-remaining-ms");

    private static final int BODY_LIMIT = 64 * 1024;
    private static final double MOST_SLOTS = 64;
    /** A whole request is due so long after its first byte, and a first byte so long after connecting. */
    private static final double SLOW_MS = 2_000;

    private static final double UNREAD_MS = 10_000;
    private static final double IDLE_MS = 60_000;
    private static final double SWEEP_MS = 250;
    /** A request follows its connection at once: while places run short, one without is a stranger's after this. */
    private static final double NEWCOMER_MS = 100;

    private static final double HALF_MS = 300;
    private final DispatchCore room;
    private final LoopContext kit;
    private final Lag lag;
    private final Set<ClientConnection> desks = new LinkedHashSet<>();
    private final NodeListWatch list;
    private boolean ready;
    /** Whether anybody was told that this process is ready. */
    private boolean saidReady;

    private boolean stopping;
    private boolean leaving;
    private boolean called;

    /** How long bytes that are read now may have lain unread. */
    interface Lag {
        double ms();
    }

    HttpFront(DispatchCore room, LoopContext kit, Lag lag, NodeListWatch list) {
        this.list = list;
        this.room = room;
        this.kit = kit;
        this.lag = lag;
        kit.wheel().at(kit.clock().nowMs() + SWEEP_MS, this::sweep);
    }

    /** Takes a connection in. */
    ConnectionHandler accept(Connection wire) {
        return new ClientConnection(wire);
    }

    /** From here on {@code /health/ready} says 200. */
    void ready() {
        ready = true;
    }

    /**
     * Says no longer that it is ready; goes on serving whoever is connected for a while.
     *
     * @param heardAtMs when the process heard of SIGTERM, which it may do only now
     */
    void stop(double heardAtMs) {
        stopping = true;
        double longest = room.settings().classes().stream()
                .mapToDouble(JobClass::deadlineMs)
                .max()
                .orElse(0);
        ShutdownSchedule schedule = ShutdownSchedule.of(heardAtMs, longest);
        kit.wheel().at(schedule.closeIdleAtMs(), this::leave);
        kit.wheel().at(schedule.lastCallAtMs(), this::lastCall);
    }

    /**
     * The end may come any moment: all that is open gets its answer now, whenever it was taken. When a request came is known
     * less exactly than SIGKILL allows: the signal may have been heard late, and the request read late.
     */
    private void lastCall() {
        called = true;
        kit.log().accept("last call: " + room.open() + " jobs open, " + desks.size() + " connections");
        for (ClientConnection d : List.copyOf(desks)) {
            d.wire.look(); // what has come already is read and refused, rather than left for SIGKILL to find
            if (d.over) {
                continue;
            }
            if (d.entry != null) {
                kit.log()
                        .accept("last call: " + d.entry.sheet().id() + " is answered, taken "
                                + Math.round(kit.clock().nowMs() - d.takenAt) + " ms ago");
                room.cutShort(d.entry);
            } else if (d.reader.midway()) {
                kit.counters().count("front.half_at_end");
                d.refuseHalfRequest();
            }
        }
    }

    /** Closes idle connections, and ends the others with their next answer. */
    private void leave() {
        leaving = true;
        for (ClientConnection d : List.copyOf(desks)) {
            d.wire.look(); // a request that has come already is taken, not cut off
            if (desks.contains(d) && d.idle()) {
                d.finish();
            }
        }
    }

    /** True when no client waits for anything. */
    boolean quiet() {
        return leaving && desks.stream().allMatch(d -> d.idle() && d.wire.flushed());
    }

    /** Ends what is slow, says nothing from the start, does not read its answer or has idled too long. */
    private void sweep() {
        double now = kit.clock().nowMs();
        for (ClientConnection d : List.copyOf(desks)) {
            if (now - d.since > (d.owesBytes() ? SLOW_MS : IDLE_MS)) {
                d.wire.look(); // bytes that have come already are read first
            }
            double since = now - d.since;
            if (d.working || d.over) {
                continue;
            }
            if (!d.wire.flushed() && since > UNREAD_MS) {
                kit.counters().count("front.unread");
                d.drop();
            } else if (d.reader.midway() && since > SLOW_MS) {
                kit.counters().count("front.slow");
                d.refuseBytes(408, "");
            } else if (d.silent() && since > SLOW_MS) {
                kit.counters().count("front.silent");
                d.finish();
            } else if (d.idle() && since > IDLE_MS) {
                d.finish();
            }
        }
        kit.wheel().at(now + SWEEP_MS, this::sweep);
    }

    /** Ends the connection that matters least, so that a newcomer finds a place; false while each may matter. */
    boolean shed() {
        for (ClientConnection d = least(); d != null; d = least()) {
            d.wire.look();
            if (!desks.contains(d)) {
                return true;
            }
            if (d == least()) {
                kit.counters().count("front.shed." + d.rank(kit.clock().nowMs()));
                d.finish();
                return true;
            }
        }
        return false;
    }

    private ClientConnection least() {
        double now = kit.clock().nowMs();
        ClientConnection least = null;
        for (ClientConnection d : desks) {
            int rank = d.rank(now);
            if (rank >= 0
                    && (least == null || rank < least.rank(now) || rank == least.rank(now) && d.since < least.since)) {
                least = d;
            }
        }
        return least;
    }

    /** One connection of a front desk. */
    private final class ClientConnection implements ConnectionHandler, ReplyTo {
        private final Connection wire;
        private final RequestReader reader = new RequestReader(BODY_LIMIT);
        private OpenJob entry;
        private ByteBuffer ahead = ByteBuffer.allocate(0);
        /** What is being read. */
        private ByteBuffer from = ahead;

        private double since = kit.clock().nowMs();
        private boolean working;
        private boolean reading;
        private boolean over;
        private boolean continued;
        private boolean answered;
        private boolean knownDesk;
        private double takenAt;

        ClientConnection(Connection wire) {
            this.wire = wire;
            desks.add(this);
        }

        boolean idle() {
            return !working && !reader.midway() && !ahead.hasRemaining();
        }

        /** Nothing has come on it yet. */
        boolean silent() {
            return idle() && !answered;
        }

        boolean owesBytes() {
            return !working && (reader.midway() || !answered);
        }

        /**
         * What is shed first while places run short: one that asked for something but handed no job in, one silent
         * from the start, half a request, one that idles between jobs, whose client can tell and comes again; or -1.
         */
        int rank(double now) {
            if (working || ahead.hasRemaining()) {
                return -1;
            }
            double age = now - since;
            return reader.midway()
                    ? age > HALF_MS ? 2 : -1
                    : answered ? wire.flushed() ? knownDesk ? 3 : 0 : -1 : age > NEWCOMER_MS ? 1 : -1;
        }

        @Override
        public void bytes(ByteBuffer in) {
            if (working || ahead.hasRemaining()) {
                stash(in);
            } else {
                read(in);
            }
        }

        private void stash(ByteBuffer in) {
            if (ahead.remaining() + in.remaining() > BODY_LIMIT) {
                ended(); // far more than one request ahead of its answer
                wire.cut();
                return;
            }
            ahead = ByteBuffer.allocate(ahead.remaining() + in.remaining())
                    .put(ahead)
                    .put(in)
                    .flip();
        }

        private void read(ByteBuffer in) {
            reading = true;
            from = in;
            try {
                while (!over && !working && hasMore()) {
                    if (!reader.midway() && answered) {
                        since = kit.clock().nowMs(); // a first request's time runs from the connection's start
                    }
                    if (reader.feed(from)) {
                        working = true;
                        request();
                    } else if (!continued && reader.awaitsContinue()) {
                        continued = true;
                        wire.write(Answers.ascii("HTTP/1.1 100 Continue\r\n\r\n"));
                    }
                }
            } catch (BadMessage e) {
                refuseBytes(e.status(), e.getMessage());
            } finally {
                reading = false;
            }
            if (!over && working && from.hasRemaining()) {
                stash(from);
            }
        }

        /** Whether there is more to read: what came with the request before, then what came while that was looked at. */
        private boolean hasMore() {
            if (!from.hasRemaining() && ahead.hasRemaining()) {
                from = ahead;
                ahead = ByteBuffer.allocate(0);
            }
            return from.hasRemaining();
        }

        /**
         * Whether the client has gone already: its end may have come with its request, to a connection that was
         * accepted late or not read for a while. Its job would be dispatched before that is read otherwise.
         */
        private boolean left() {
            if (from.hasRemaining()) {
                stash(from); // before what the look brings
            }
            if (!over) {
                wire.look();
            }
            return over;
        }

        /** The process ends before the rest of a request can be waited for: it was not taken, and may go elsewhere. */
        private void refuseHalfRequest() {
            working = true;
            answer(503, Answers.ascii(""), "", true);
        }

        private void refuseBytes(int status, String why) {
            kit.counters().count("front.bad." + status);
            working = true;
            answer(status, Answers.ascii(why), "", true);
        }

        private void request() {
            kit.counters().count("front.requests");
            String path = reader.path();
            switch (path) {
                case "/health/ready" -> get(this::answerReady);
                case "/health/live" -> get(() -> answer(200, Answers.ascii(""), "", false));
                case "/counters" ->
                    get(() -> answer(200, Answers.ascii(kit.counters().toString()), "", false));
                default -> job(path);
            }
        }

        private void answerReady() {
            boolean yes = ready && !stopping && list.primed();
            saidReady |= yes;
            answer(yes ? 200 : 503, Answers.ascii(""), "", false);
        }

        private void get(Runnable then) {
            if (reader.method().equals("GET")) {
                then.run();
            } else {
                kit.counters().count("front.bad.405");
                answer(405, Answers.ascii(""), "Allow: GET\r\n", true);
            }
        }

        private void job(String path) {
            int end = path.indexOf('/', 1);
            String first = path.substring(1, end < 0 ? path.length() : end);
            int cls = room.offered(first);
            if (cls < 0) {
                refuseBytes(404, "no such class");
            } else if (!reader.method().equals("POST")) {
                kit.counters().count("front.bad.405");
                answer(405, Answers.ascii(""), "Allow: POST\r\n", true);
            } else {
                JobRequest sheet;
                try {
                    sheet = sheet(cls);
                } catch (BadInput | NumberFormatException e) {
                    refuseBytes(400, "malformed field: " + e.getMessage());
                    return;
                }
                if (room.entry(sheet.id()) != null) {
                    refuseBytes(409, "a job of this id is open");
                    return;
                }
                if (left()) {
                    kit.counters().count("front.gone_before");
                    return;
                }
                if (called) {
                    kit.counters().count("front.after_last_call");
                    refused(0);
                    return;
                }
                if (!saidReady) {
                    list.clientsStillCome();
                }
                knownDesk = true;
                takenAt = kit.clock().nowMs();
                entry = room.take(sheet, this);
                if (over && entry != null) {
                    room.gone(
                            entry, this); // it left while its job was being taken, before there was an entry to tell of
                }
            }
        }

        private JobRequest sheet(int cls) {
            var head = reader.head();
            JobClass c = room.settings().classes().get(cls);
            String id = head.only("X-Txn");
            String lane = head.field("X-Lane");
            if (id == null || !id.matches("[!-~]{1,128}")) {
                throw new BadInput("X-Txn"); // what a route node could read or say back otherwise
            }
            if (lane != null && !lane.equals(c.name())) {
                throw new BadInput("X-Lane");
            }
            String left = head.field("X-Remaining-Ms");
            String estimate = head.field("X-Estimate");
            String labels = head.field("X-Labels");
            Fields more = new Fields(
                    "X-Labels",
                    labels == null || labels.isBlank() ? Map.of() : LoadReports.pairs(labels.toLowerCase(Locale.ROOT)));
            double unread = Math.max(lag.ms(), wire.waitedMs());
            double patience = left == null ? c.deadlineMs() : Math.min(Long.parseLong(left), c.deadlineMs());
            double slots = more.number("slots", more.number("needs", 1));
            if (!(slots > 0 && slots <= MOST_SLOTS)) {
                throw new BadInput("X-Labels");
            }
            return new JobRequest(
                    id,
                    cls,
                    reader.target(),
                    head.passedOn(REWORDED),
                    reader.body(),
                    unread > TimerWheel.TICK_MS ? patience - unread : patience,
                    estimate == null ? Double.NaN : Math.min(Long.parseLong(estimate) / 1000.0, c.deadlineMs()),
                    slots,
                    more.number("memory", Double.NaN),
                    0,
                    key(),
                    "1".equals(head.field("X-Resent")),
                    null,
                    new JobRequest.Work(cls, null, null, null, 0, Double.NaN));
        }

        private String key() {
            String cookie = reader.head().field("Cookie");
            if (cookie != null) {
                for (String part : cookie.split(";")) {
                    if (part.strip().startsWith("obj=")) {
                        return part.strip().substring(4);
                    }
                }
            }
            return null;
        }

        @Override
        public void served(ByteBuffer result) {
            answer(200, result, "", false);
        }

        @Override
        public void refused(double retryAfterMs) {
            String after = retryAfterMs <= 0
                    ? ""
                    : "Retry-After: " + String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000) + "\r\n";
            answer(503, Answers.ascii(""), after, false);
        }

        @Override
        public void failed() {
            answer(500, Answers.ascii(""), "", false);
        }

        @Override
        public void look() {
            wire.look();
        }

        private void answer(int status, ByteBuffer body, String fields, boolean close) {
            if (over) {
                return;
            }
            kit.counters().count("front.answers." + status);
            // Requests that were read ahead are answered too before the connection ends.
            boolean last = close || leaving && !ahead.hasRemaining() || reader.closes();
            working = false;
            answered = true;
            continued = false;
            entry = null;
            since = kit.clock().nowMs();
            wire.write(Answers.head(status, body.remaining(), last, fields), body);
            if (last) {
                finish();
                return;
            }
            reader.next();
            if (!reading && ahead.hasRemaining()) {
                // Not from within the core's answer to the last one.
                kit.wheel().at(kit.clock().nowMs(), () -> {
                    ByteBuffer next = ahead;
                    ahead = ByteBuffer.allocate(0);
                    read(next);
                });
            }
        }

        private void finish() {
            reportOpenJob();
            over = true;
            desks.remove(this);
            wire.finish();
        }

        /** Whatever closes this connection, its open job has its answer first. */
        private void reportOpenJob() {
            if (entry != null) {
                room.closedUnanswered(entry);
            }
        }

        private void drop() {
            reportOpenJob();
            over = true;
            desks.remove(this);
            wire.cut();
        }

        @Override
        public void ended() {
            over = true;
            desks.remove(this);
            if (entry != null) {
                room.gone(entry, this);
            }
        }
    }
}
