package plumpost.platform;

import java.nio.ByteBuffer;
import java.util.Locale;
import plumpost.config.Json.BadInput;
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

/**
 * One connection of a client: reads one request after the other, hands jobs to the core and writes their answers. Requests that
 * come ahead of an answer wait for it; past a limit the connection is not read until then.
 */
final class ClientConnection implements ConnectionHandler, ReplyTo {
    /** The rank of a connection that is never shed. */
    static final int KEPT = -1;

    private static final int BODY_LIMIT = 64 * 1024;
    /** A request follows its connection at once: while places run short, one without is a stranger's after this. */
    private static final double NEWCOMER_MS = 100;
    /** While places run short, half a request is given up after this. */
    private static final double HALF_REQUEST_MS = 300;

    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    private final HttpFront front;
    private final DispatchCore core;
    private final LoopContext context;
    private final Connection connection;
    private final RequestReader reader = new RequestReader(BODY_LIMIT);
    /** The job whose answer the client waits for, or null. */
    private OpenJob job;

    private double takenAtMs;
    /** Bytes that came before the answer to the request ahead of them. */
    private ByteBuffer ahead = NOTHING;
    /** What is being read. */
    private ByteBuffer from = ahead;
    /** When a request began, an answer was written or the connection came, whichever was last. */
    private double sinceMs;
    /** A request is whole and has no answer yet. */
    private boolean working;

    private boolean reading;
    private boolean over;
    private boolean continued;
    private boolean answered;
    private boolean handsInJobs;

    ClientConnection(HttpFront front, DispatchCore core, LoopContext context, Connection connection) {
        this.front = front;
        this.core = core;
        this.context = context;
        this.connection = connection;
        sinceMs = nowMs();
    }

    private double nowMs() {
        return context.clock().nowMs();
    }

    // ---- its state, for the front ----

    /** A request is whole and has no answer yet. */
    boolean working() {
        return working;
    }

    /** A request has begun and is not whole. */
    boolean midway() {
        return reader.midway();
    }

    /** Nothing of a request is here. */
    boolean idle() {
        return !working && !reader.midway() && !ahead.hasRemaining();
    }

    /** Nothing has come on it yet. */
    boolean silent() {
        return idle() && !answered;
    }

    /** Its client is to send something: the rest of a request, or a first one. */
    boolean owesBytes() {
        return !working && (reader.midway() || !answered);
    }

    /** All answers are written. */
    boolean answersWritten() {
        return connection.flushed();
    }

    /** How long its state has been this one. */
    double quietMs() {
        return nowMs() - sinceMs;
    }

    /**
     * What is shed first while places run short: 0 for one that asked for something but handed no job in, 1 for one silent from
     * the start, 2 for half a request, 3 for one that idles between jobs, whose client can tell and comes again; else
     * {@link #KEPT}.
     */
    int rank() {
        if (working || ahead.hasRemaining()) {
            return KEPT;
        }
        if (reader.midway()) {
            return quietMs() > HALF_REQUEST_MS ? 2 : KEPT;
        }
        if (!answered) {
            return quietMs() > NEWCOMER_MS ? 1 : KEPT;
        }
        if (!connection.flushed()) {
            return KEPT;
        }
        return handsInJobs ? 3 : 0;
    }

    // ---- reading ----

    @Override
    public void bytes(ByteBuffer in) {
        if (working || ahead.hasRemaining()) {
            keepForLater(in);
        } else {
            read(in);
        }
    }

    private void keepForLater(ByteBuffer in) {
        ahead = ByteBuffer.allocate(ahead.remaining() + in.remaining())
                .put(ahead)
                .put(in)
                .flip();
        if (ahead.remaining() > BODY_LIMIT) {
            // Closing would lose the job that is open: the client is to wait, as it would for a slow reader.
            context.counters().count("front.far_ahead");
            connection.pauseReading();
        }
    }

    private void read(ByteBuffer in) {
        reading = true;
        from = in;
        try {
            while (!over && !working && hasMore()) {
                if (!reader.midway() && answered) {
                    sinceMs = nowMs(); // a first request's time runs from the connection's start
                }
                if (reader.feed(from)) {
                    working = true;
                    request();
                } else if (!continued && reader.awaitsContinue()) {
                    continued = true;
                    connection.write(Answers.ascii("HTTP/1.1 100 Continue\r\n\r\n"));
                }
            }
        } catch (BadMessage e) {
            refuseMalformed(e.status(), e.getMessage());
        } finally {
            reading = false;
        }
        if (!over && working && from.hasRemaining()) {
            keepForLater(from);
        }
    }

    /** Whether there is more to read: what came with the request before, then what came while that was looked at. */
    private boolean hasMore() {
        if (!from.hasRemaining() && ahead.hasRemaining()) {
            from = takeAhead();
        }
        return from.hasRemaining();
    }

    private ByteBuffer takeAhead() {
        ByteBuffer next = ahead;
        ahead = NOTHING;
        connection.resumeReading();
        return next;
    }

    /**
     * Whether the client has gone already: its end may have come with its request, to a connection that was
     * accepted late or not read for a while. Its job would be dispatched before that is read otherwise.
     */
    private boolean clientHasLeft() {
        if (from.hasRemaining()) {
            keepForLater(from); // before what the look brings
        }
        if (!over) {
            connection.look();
        }
        return over;
    }

    // ---- requests ----

    private void request() {
        context.counters().count("front.requests");
        String path = reader.path();
        switch (path) {
            case "/health/ready" -> get(() -> answer(front.saysReady() ? 200 : 503, NOTHING, "", false));
            case "/health/live" -> get(() -> answer(200, NOTHING, "", false));
            case "/counters" ->
                get(() -> answer(200, Answers.ascii(context.counters().toString()), "", false));
            default -> handIn(path);
        }
    }

    private void get(Runnable then) {
        if (reader.method().equals("GET")) {
            then.run();
        } else {
            refuseMethod("GET");
        }
    }

    private void refuseMethod(String allowed) {
        context.counters().count("front.bad.405");
        answer(405, NOTHING, "Allow: " + allowed + "\r\n", true);
    }

    private void handIn(String path) {
        int end = path.indexOf('/', 1);
        int classIndex = core.offered(path.substring(1, end < 0 ? path.length() : end));
        if (classIndex < 0) {
            refuseMalformed(404, "no such class");
            return;
        }
        if (!reader.method().equals("POST")) {
            refuseMethod("POST");
            return;
        }
        JobRequest request;
        try {
            JobClass jobClass = core.settings().classes().get(classIndex);
            double unreadMs = Math.max(front.unreadMs(), connection.waitedMs());
            request = JobRequestReader.read(reader, classIndex, jobClass, unreadMs);
        } catch (BadInput e) {
            refuseMalformed(400, "malformed field: " + e.getMessage());
            return;
        }
        if (core.entry(request.id()) != null) {
            refuseMalformed(409, "a job of this id is open");
        } else if (clientHasLeft()) {
            context.counters().count("front.gone_before");
        } else if (front.takesNothing()) {
            context.counters().count("front.after_last_call");
            refused(0);
        } else {
            handIn(request);
        }
    }

    private void handIn(JobRequest request) {
        front.clientCame();
        handsInJobs = true;
        takenAtMs = nowMs();
        OpenJob taken = core.take(request, this);
        job = working ? taken : null; // it may have been answered while it was taken
        if (over && job != null) {
            core.gone(job, this); // it left while its job was being taken, before there was one to tell of
        }
    }

    /** Refuses what is no request, or none that can be served, and ends the connection. */
    void refuseMalformed(int status, String why) {
        context.counters().count("front.bad." + status);
        working = true;
        answer(status, Answers.ascii(why), "", true);
    }

    /** SIGKILL may come soon: the open job is answered, and half a request is refused. */
    void endForLastCall() {
        if (job != null) {
            context.log()
                    .accept("last call: " + job.sheet().id() + " is answered, taken " + Math.round(nowMs() - takenAtMs)
                            + " ms ago");
            core.cutShort(job);
        } else if (reader.midway()) {
            context.counters().count("front.half_at_end");
            working = true;
            answer(503, NOTHING, "", true); // it was not taken, and may go elsewhere
        }
    }

    // ---- answers ----

    @Override
    public void served(ByteBuffer result) {
        answer(200, result, "", false);
    }

    @Override
    public void refused(double retryAfterMs) {
        String after = retryAfterMs <= 0
                ? ""
                : "Retry-After: " + String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000) + "\r\n";
        answer(503, NOTHING, after, false);
    }

    @Override
    public void failed() {
        answer(500, NOTHING, "", false);
    }

    @Override
    public void look() {
        connection.look();
    }

    private void answer(int status, ByteBuffer body, String fields, boolean close) {
        if (over) {
            return;
        }
        context.counters().count("front.answers." + status);
        // Requests that were read ahead are answered too before the connection ends.
        boolean last = close || front.closesConnections() && !ahead.hasRemaining() || reader.closes();
        working = false;
        answered = true;
        continued = false;
        job = null;
        sinceMs = nowMs();
        connection.write(Answers.head(status, body.remaining(), last, fields), body.duplicate());
        if (last) {
            finish();
            return;
        }
        reader.next();
        if (!reading && ahead.hasRemaining()) {
            context.wheel().at(nowMs(), () -> read(takeAhead())); // not from within the core's answer to the last one
        }
    }

    // ---- the end ----

    /** Ends the connection once its answers are written. */
    void finish() {
        reportOpenJob();
        over = true;
        front.ended(this);
        connection.finish();
    }

    /** Ends the connection at once. */
    void drop() {
        reportOpenJob();
        over = true;
        front.ended(this);
        connection.cut();
    }

    /** Whatever closes this connection, its open job has its answer first. */
    private void reportOpenJob() {
        if (job != null) {
            core.closedUnanswered(job);
        }
    }

    @Override
    public void ended() {
        over = true;
        front.ended(this);
        if (job != null) {
            core.gone(job, this);
        }
    }
}
