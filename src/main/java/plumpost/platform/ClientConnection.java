package plumpost.platform;

import java.nio.ByteBuffer;
import java.util.Locale;
import plumpost.dispatch.DispatchCore;
import plumpost.dispatch.JobSpec;
import plumpost.dispatch.OpenJob;
import plumpost.dispatch.ReplyTo;
import plumpost.dispatch.WorkerResult;
import plumpost.http.AnswerEncoder;
import plumpost.http.BadMessageException;
import plumpost.http.RequestReader;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.time.TimerWheel;

/**
 * One connection of a client: reads requests one by one, submits jobs to the core and writes the answers. Requests that come
 * ahead of the answer to the current one wait for it, and beyond a limit are refused in their turn; the connection is read all
 * the while, so that the client's end is noticed behind whatever it has sent.
 */
final class ClientConnection implements ConnectionHandler, ReplyTo, ClientMemory.Holder {
    /** The shed rank of a connection that must not be shed. */
    static final int NEVER_SHED = -1;

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_READ_AHEAD_BYTES = 64 * 1024;
    /** Requests answered in one turn of the loop; the others of a client that sends many wait behind other clients. */
    private static final int MAX_REQUESTS_PER_TURN = 32;
    /** A request that has waited for memory for this long is refused, so that the client's end behind it is noticed. */
    private static final double MAX_MEMORY_WAIT_MS = 80;
    /** Clients send a request as soon as they have connected; without one after this time, a connection may be shed. */
    private static final double FIRST_REQUEST_MS = 100;
    /** A connection whose request has been incomplete for this long may be shed. */
    private static final double HALF_REQUEST_MS = 300;

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    private final HttpFront front;
    private final DispatchCore core;
    private final LoopContext context;
    private final Connection connection;
    private final RequestReader reader = new RequestReader(MAX_BODY_BYTES, JobFields.NAMES);
    /** The open job that the client waits for, or null. */
    private OpenJob job;
    /** The job as this connection submitted it, until it is answered, or null. */
    private JobSpec submitted;

    private double jobTakenAtMs;
    private final ClientEvents events;
    private final RequestRouter router;
    private final RequestBacklog backlog;
    /** The bytes just received, while they are being parsed. */
    private ByteBuffer received = EMPTY;
    /** Bytes of the last answer, while the socket has not taken all of them. */
    private long unwrittenBytes;
    /** The bytes that this connection has reported to hold. */
    private long reportedBytes;
    /** How long the current request has waited behind others of its connection since its last byte was read. */
    private double waitedAheadMs;
    /** When a request last began, an answer was written or the connection was accepted. */
    private double stateSinceMs;
    /** Whether a complete request has no answer yet. */
    private boolean requestOpen;

    private boolean parsing;
    /** Whether the next turn of the loop continues to parse. */
    private boolean parseScheduled;
    /** Refuses the request that waits for memory, or null. */
    private TimerWheel.Timer memoryTimer;

    private boolean closed;
    private boolean continueSent;
    private boolean answered;
    private boolean hasSubmittedJob;

    ClientConnection(HttpFront front, DispatchCore core, LoopContext context, Connection connection) {
        this.front = front;
        this.core = core;
        this.context = context;
        this.connection = connection;
        events = new ClientEvents(core, context, connection);
        router = new RequestRouter(front, core, context, this);
        backlog = new RequestBacklog(MAX_BODY_BYTES, router::hasKnownId);
        stateSinceMs = nowMs();
    }

    private double nowMs() {
        return context.clock().nowMs();
    }

    // ---- state, for the front ----

    /** Returns whether a complete request has no answer yet. */
    boolean awaitsAnswer() {
        return requestOpen;
    }

    /** Returns whether a request has begun and is not complete. */
    boolean readingRequest() {
        return reader.isIncomplete() || !requestOpen && !backlog.hasWork() && backlog.dropsIncompleteRequest();
    }

    /** Returns whether the request that is being received is dropped for lack of memory. */
    boolean dropsRequest() {
        return reader.discardsBody() || backlog.dropsIncompleteRequest();
    }

    /** Returns whether there is neither an open request nor any byte of another. */
    boolean idle() {
        return !requestOpen && !reader.isIncomplete() && backlog.isEmpty();
    }

    /** Returns whether nothing has been received on the connection yet. */
    boolean neverUsed() {
        return idle() && !answered;
    }

    /** Returns whether the client is expected to send the rest of a request, or its first one. */
    boolean awaitsRequestBytes() {
        return !requestOpen && (readingRequest() || !answered);
    }

    /** Returns whether all answers have been written to the socket. */
    boolean answersWritten() {
        return connection.flushed();
    }

    /** Returns how long the connection has been in its current state, in milliseconds. */
    double stateAgeMs() {
        return nowMs() - stateSinceMs;
    }

    /**
     * Returns the rank by which connections are shed when too many are open, lowest first: 0 if it has sent requests but no
     * job, 1 if it has sent nothing, 2 if its request is incomplete, 3 if it idles between jobs, since its client notices the
     * close and reconnects; otherwise {@link #NEVER_SHED}.
     */
    int shedRank() {
        if (requestOpen || !backlog.isEmpty()) {
            return NEVER_SHED;
        }
        if (reader.isIncomplete()) {
            return stateAgeMs() > HALF_REQUEST_MS ? 2 : NEVER_SHED;
        }
        if (!answered) {
            return stateAgeMs() > FIRST_REQUEST_MS ? 1 : NEVER_SHED;
        }
        if (!connection.flushed()) {
            return NEVER_SHED;
        }
        return hasSubmittedJob ? 3 : 0;
    }

    // ---- reading ----

    @Override
    public int readLimit() {
        if (!mayParse()) {
            // An answer is due: what comes ahead of it is kept or dropped, and the client's end is noticed.
            return Integer.MAX_VALUE;
        }
        if (backlog.hasWork()) {
            return 0; // the next turn parses it
        }
        if (!backlog.isEmpty() || reader.discardsBody()) {
            return Integer.MAX_VALUE;
        }
        int allowance = (int) Math.min(reader.missingBodyBytes(), front.memory().requestAllowance(this));
        watchMemoryWait(allowance <= 0);
        return allowance;
    }

    private void watchMemoryWait(boolean waiting) {
        if (waiting && memoryTimer == null) {
            memoryTimer = context.wheel().schedule(nowMs() + MAX_MEMORY_WAIT_MS, this::endMemoryWait);
        } else if (!waiting && memoryTimer != null) {
            memoryTimer.cancel();
            memoryTimer = null;
        }
    }

    /** Refuses the request that has waited for memory: its rest is read and dropped. */
    private void endMemoryWait() {
        memoryTimer = null;
        if (closed || !front.memory().isWaiting(this)) {
            return;
        }
        if (!reader.hasHead()) {
            reject(503, RejectReason.NO_MEMORY, "the requests being received use up the memory for them");
            return;
        }
        context.counters().count("front.memory_refused");
        front.memory().stopWaiting(this);
        reader.discardBody();
        reportHeldBytes();
        connection.resumeReading();
    }

    private boolean readsAhead() {
        return !mayParse() || !backlog.isEmpty();
    }

    @Override
    public boolean readsBody() {
        return !readsAhead() && reader.hasHead();
    }

    @Override
    public long heldBytes() {
        long requestBytes = job == null ? reader.capacity() : 0; // an open job's are counted by the core
        return requestBytes + backlog.capacity() + unwrittenBytes;
    }

    @Override
    public void resumeReading() {
        if (!closed) {
            connection.resumeReading();
        }
    }

    private void reportHeldBytes() {
        long held = closed ? 0 : heldBytes();
        long change = held - reportedBytes;
        reportedBytes = held;
        if (change != 0) {
            front.memory().adjust(change);
        }
    }

    @Override
    public void received(ByteBuffer newBytes) {
        if (readsAhead()) {
            keepAhead(newBytes);
            if (!parsing && mayParse()) {
                parse();
            }
        } else {
            received = newBytes;
            parse();
        }
        reportHeldBytes();
    }

    /** Returns whether the next request may be parsed: the last one is answered, and its answer is written. */
    private boolean mayParse() {
        return !closed && !requestOpen && (unwrittenBytes == 0 || front.refusesJobs());
    }

    /** Parses what has been received, and then what came ahead, up to the end of a request that is not answered yet. */
    private void parse() {
        parsing = true;
        try {
            int answeredRequests = 0;
            while (mayParse() && (received.hasRemaining() || backlog.hasWork())) {
                if (answeredRequests == MAX_REQUESTS_PER_TURN) {
                    scheduleParse();
                    break;
                }
                answeredRequests += parseNext() ? 1 : 0;
            }
        } catch (BadMessageException e) {
            reject(e.status(), RejectReason.MALFORMED_MESSAGE, e.getMessage());
        } finally {
            parsing = false;
        }
        if (!closed) {
            keepAhead(received);
            backlog.releaseIfDone();
            connection.resumeReading();
        }
        received = EMPTY;
    }

    /** Parses up to the end of the next request and handles it; returns whether one was complete. */
    private boolean parseNext() throws BadMessageException {
        if (!reader.isIncomplete() && answered) {
            stateSinceMs = nowMs(); // the time of the first request counts from the connect
        }
        if (!received.hasRemaining() && backlog.size() == 0) {
            refuseDropped();
            return true;
        }
        boolean cameAhead = !received.hasRemaining();
        if (reader.feed(cameAhead ? backlog.bytes() : received)) {
            requestOpen = true;
            waitedAheadMs = cameAhead ? nowMs() - backlog.parsedArrivedAtMs() : 0;
            handleRequest();
            return true;
        }
        if (!continueSent && reader.awaitsContinue()) {
            continueSent = true;
            connection.write(AnswerEncoder.ascii("HTTP/1.1 100 Continue\r\n\r\n"));
        }
        return false;
    }

    /** Refuses the next request that came too far ahead to be kept. */
    private void refuseDropped() throws BadMessageException {
        int status = backlog.droppedHaveKnownId() ? 500 : 503;
        boolean last = backlog.takeDropped();
        context.counters().count("front.far_ahead");
        requestOpen = true;
        answer(status, EMPTY, "", last);
    }

    private void keepAhead(ByteBuffer bytes) {
        long room = MAX_READ_AHEAD_BYTES - backlog.size();
        backlog.add(bytes, Math.min(room, front.memory().readAheadAllowance(this)), nowMs());
    }

    private void scheduleParse() {
        if (!parseScheduled) {
            parseScheduled = true;
            context.network().runNextTurn(this::continueParsing);
        }
    }

    private void continueParsing() {
        parseScheduled = false;
        if (mayParse()) {
            parse();
            reportHeldBytes();
        }
    }

    /**
     * Returns whether the client has already disconnected. On a connection that was accepted or read late, the close may have
     * arrived together with the request, and the job would otherwise be submitted before the close is read.
     */
    private boolean clientDisconnected() {
        keepAhead(received); // ahead of the bytes that are read now
        if (!closed) {
            connection.readAvailable();
        }
        return closed;
    }

    // ---- requests ----

    private void handleRequest() {
        context.counters().count("front.requests");
        if (reader.discardsBody()) {
            if (router.hasKnownId(reader)) {
                rejectedAsKnown();
            } else {
                answer(503, EMPTY, "", false);
            }
            return;
        }
        double unreadMs = Math.max(waitedAheadMs, Math.max(front.unreadMs(), connection.backlogWaitMs()));
        router.handle(reader, unreadMs);
    }

    /** Submits a job, unless its client has left behind the request. */
    void submit(JobSpec request) {
        if (clientDisconnected()) {
            context.counters().count("front.gone_before");
            return;
        }
        if (!backlog.mayBeginRequest()) {
            // Its length was shorter than what was sent, or there was none.
            reject(400, RejectReason.MALFORMED_MESSAGE, "bytes behind the request that begin no other");
            return;
        }
        front.jobSubmitted();
        hasSubmittedJob = true;
        jobTakenAtMs = nowMs();
        submitted = request;
        OpenJob taken = core.submit(request, this);
        job = requestOpen ? taken : null; // the core may have answered it already
        if (closed && job != null) {
            core.removeClient(job, this); // the client left while the core was taking the job
        }
    }

    /** Answers a request of a wrong method, and closes the connection. */
    void rejectMethod(String allowed) {
        events.rejected(reader, 405, RejectReason.METHOD, "the path takes " + allowed);
        answer(405, EMPTY, "Allow: " + allowed + "\r\n", true);
    }

    /** Answers a call that is no job. */
    void answerCall(int status, String body) {
        answer(status, AnswerEncoder.ascii(body), "", false);
    }

    /** Answers a request that is malformed or cannot be served with an error, and closes the connection. */
    void reject(int status, RejectReason reason, String detail) {
        events.rejected(reader, status, reason, detail);
        requestOpen = true;
        answer(status, AnswerEncoder.ascii(detail), "", true);
    }

    /** Answers the open job, or refuses an incomplete request, because SIGKILL may follow soon. */
    void endForShutdown() {
        if (job != null) {
            context.log()
                    .accept("last call: " + job.spec().id() + " is answered, taken "
                            + Math.round(nowMs() - jobTakenAtMs) + " ms ago");
            core.endBeforeStop(job);
        } else if (readingRequest()) {
            context.counters().count("front.half_at_end");
            requestOpen = true;
            if (reader.hasHead() && router.hasKnownId(reader)) {
                rejectedAsKnown();
            } else {
                answer(503, EMPTY, "", true); // it was not accepted, so the client may send it elsewhere
            }
        }
    }

    // ---- answers ----

    /** Tells the client a result, the only way to an answer 200 for a job: it must have been made for this very request. */
    @Override
    public void served(WorkerResult result) {
        if (!result.isFor(submitted)) {
            core.foreignResult(submitted == null ? "-" : submitted.id());
            failed();
            return;
        }
        answer(200, result.bytes(), "", false);
    }

    @Override
    public void refused(double retryAfterMs) {
        String retryAfterField = retryAfterMs <= 0
                ? ""
                : "Retry-After: " + String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000) + "\r\n";
        answer(503, EMPTY, retryAfterField, false);
    }

    @Override
    public void failed() {
        answer(500, EMPTY, "", false);
    }

    @Override
    public void rejectedAsKnown() {
        reject(409, RejectReason.KNOWN_ID, "the id is that of another request");
    }

    @Override
    public boolean pollConnection() {
        return connection.readAvailable();
    }

    @Override
    public String endReason() {
        return connection.endReason();
    }

    private void answer(int status, ByteBuffer body, String fields, boolean close) {
        if (closed) {
            return;
        }
        context.counters().count("front.answers." + status);
        // Buffered requests are answered before the connection is closed.
        boolean closing = close || front.closesAfterAnswers() && backlog.isEmpty() || reader.closesConnection();
        requestOpen = false;
        answered = true;
        continueSent = false;
        job = null;
        submitted = null;
        stateSinceMs = nowMs();
        ByteBuffer head = AnswerEncoder.head(status, body.remaining(), closing, fields);
        connection.write(head, body.duplicate());
        if (closing) {
            finish("answer_" + status);
            return;
        }
        reader.reset();
        unwrittenBytes = connection.flushed() ? 0 : head.remaining() + body.remaining();
        if (!parsing) {
            continueAfterAnswer();
        }
    }

    @Override
    public void flushed() {
        if (unwrittenBytes > 0) {
            unwrittenBytes = 0;
            continueAfterAnswer();
        }
    }

    private void continueAfterAnswer() {
        reportHeldBytes();
        if (backlog.hasWork()) {
            scheduleParse(); // not within the core's call for the last answer
        } else {
            backlog.releaseIfDone();
            resumeReading();
        }
    }

    // ---- closing ----

    /** Marks the connection as closed and frees its memory, since the socket may linger for a while. */
    private void close() {
        closed = true;
        backlog.clear();
        received = EMPTY;
        reader.reset();
        reportHeldBytes();
        front.remove(this);
    }

    /** Closes the connection after its answers have been written, and logs the reason in one word. */
    void finish(String reason) {
        events.closed(job == null ? "-" : job.spec().id(), reason);
        reportOpenJob();
        close();
        connection.finish();
    }

    /** Closes the connection at once, and logs the reason in one word. */
    void abort(String reason) {
        events.closed(job == null ? "-" : job.spec().id(), reason);
        reportOpenJob();
        close();
        connection.closeNow();
    }

    /** Tells the core that the connection is closed before its open job was answered. */
    private void reportOpenJob() {
        if (job != null) {
            core.closedUnanswered(job);
        }
    }

    @Override
    public void ended() {
        close();
        if (job != null) {
            core.removeClient(job, this);
        }
    }
}
