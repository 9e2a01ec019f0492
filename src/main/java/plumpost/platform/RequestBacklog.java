package plumpost.platform;

import java.nio.ByteBuffer;
import java.util.function.Predicate;
import plumpost.http.BadMessageException;
import plumpost.http.RequestReader;

/**
 * What a client has sent ahead of the answer to its current request. Bytes are kept up to the room that the connection allows;
 * the requests beyond are parsed, counted and dropped, to be refused in their turn. So the connection is always read to its
 * end, where the client's close is, and uses memory for a count and not for bytes.
 */
final class RequestBacklog {
    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    private final int bodyLimit;
    private final Predicate<RequestReader> hasKnownId;
    private ByteBuffer kept = EMPTY;
    private final ArrivalTimes arrivalTimes = new ArrivalTimes();
    /** Parses the requests that are dropped, or null while none is. */
    private RequestReader dropReader;

    private int droppedRequests;
    /** Bytes at the end of the kept ones that were dropped with their request. */
    private int droppedTailBytes;
    /** Whether any of the dropped requests has the id of one that may have run, so that none of them is told to try again. */
    private boolean anyKnownId;
    /** Whether nothing behind the dropped requests counts, since the last of them ends the connection. */
    private boolean lastDropped;
    /** The malformed request behind the dropped ones, or null. */
    private BadMessageException malformed;

    /** Creates a backlog; {@code hasKnownId} tells whether a dropped request has the id of another one. */
    RequestBacklog(int bodyLimit, Predicate<RequestReader> hasKnownId) {
        this.bodyLimit = bodyLimit;
        this.hasKnownId = hasKnownId;
    }

    /** Returns whether there is nothing ahead, and no request is being dropped. */
    boolean isEmpty() {
        return !kept.hasRemaining() && dropReader == null;
    }

    /** Returns whether there are bytes to parse, or requests to refuse. */
    boolean hasWork() {
        return kept.hasRemaining() || droppedRequests > 0 || malformed != null;
    }

    /** Returns whether a request is being dropped and not complete. */
    boolean dropsIncompleteRequest() {
        return dropReader != null && dropReader.isIncomplete();
    }

    /** Returns whether what has come behind the current request may begin another one, as far as it goes. */
    boolean mayBeginRequest() {
        return RequestReader.mayBeginRequest(kept);
    }

    /** Returns the number of kept bytes that wait to be parsed. */
    int size() {
        return kept.remaining();
    }

    /** Returns the memory in use, in bytes. */
    int capacity() {
        return kept.capacity() + (dropReader == null ? 0 : dropReader.capacity());
    }

    /** Returns the kept bytes for parsing in place. */
    ByteBuffer bytes() {
        return kept;
    }

    /**
     * Consumes received bytes and keeps a copy behind those already here, up to {@code room} more bytes. From the first request
     * on that does not fit, requests are dropped until all of them are refused.
     *
     * @param nowMs when the bytes were received
     */
    void add(ByteBuffer received, long room, double nowMs) {
        if (!received.hasRemaining()) {
            return;
        }
        if (dropReader == null && received.remaining() <= room) {
            arrivalTimes.add(received.remaining(), nowMs);
            keep(received, room);
            return;
        }
        if (dropReader == null) {
            dropFromFirstIncomplete();
        }
        drop(received);
    }

    /** Returns when the last byte that was parsed from here was received, or a little earlier. */
    double parsedArrivedAtMs() {
        return arrivalTimes.atMs(remainingWithDroppedTail());
    }

    private int remainingWithDroppedTail() {
        return kept.remaining() + droppedTailBytes;
    }

    private void keep(ByteBuffer received, long room) {
        int needed = kept.remaining() + received.remaining();
        if (kept.capacity() >= needed) {
            kept.compact().put(received).flip();
            return;
        }
        int capacity = (int) Math.min(needed + needed / 2, kept.remaining() + room);
        kept = ByteBuffer.allocate(Math.max(needed, capacity))
                .put(kept)
                .put(received)
                .flip();
    }

    /** Keeps the complete requests of what is here, and drops the incomplete one behind them. */
    private void dropFromFirstIncomplete() {
        dropReader = newDropReader();
        ByteBuffer bytes = kept.duplicate();
        int end = bytes.position();
        try {
            while (bytes.hasRemaining() && dropReader.feed(bytes)) {
                end = bytes.position();
                startNextDropped();
            }
        } catch (BadMessageException e) {
            startNextDropped(); // it is parsed and answered in its turn, which ends the connection
            lastDropped = true;
            return;
        }
        droppedTailBytes = kept.limit() - end;
        kept.limit(end);
    }

    private RequestReader newDropReader() {
        RequestReader reader = new RequestReader(bodyLimit, JobFields.NAMES);
        reader.discardBody();
        return reader;
    }

    private void startNextDropped() {
        dropReader.reset();
        dropReader.discardBody();
    }

    private void drop(ByteBuffer received) {
        try {
            while (received.hasRemaining() && !lastDropped) {
                if (dropReader.feed(received)) {
                    droppedRequests++;
                    anyKnownId |= hasKnownId.test(dropReader);
                    lastDropped = dropReader.closesConnection();
                    startNextDropped();
                }
            }
        } catch (BadMessageException e) {
            malformed = e;
            lastDropped = true;
        }
        received.position(received.limit());
    }

    /**
     * Takes the next dropped request, all kept bytes having been parsed. Throws the error of a malformed one.
     *
     * @return whether the connection ends after its refusal
     */
    boolean takeDropped() throws BadMessageException {
        if (droppedRequests == 0) {
            BadMessageException error = malformed;
            malformed = null;
            throw error;
        }
        droppedRequests--;
        boolean last = lastDropped && droppedRequests == 0 && malformed == null;
        releaseIfDone();
        return last;
    }

    /** Returns whether one of the dropped requests, which are answered alike, has the id of another one. */
    boolean droppedHaveKnownId() {
        return anyKnownId;
    }

    /** Frees the memory if all bytes have been parsed, and keeps requests again once all dropped ones are refused. */
    void releaseIfDone() {
        if (!kept.hasRemaining()) {
            kept = EMPTY;
            droppedTailBytes = 0;
            arrivalTimes.clear();
        }
        if (dropReader != null && !hasWork() && !dropReader.isIncomplete() && !lastDropped) {
            dropReader = null;
            anyKnownId = false;
        }
    }

    /** Drops everything. */
    void clear() {
        kept = EMPTY;
        dropReader = null;
        droppedRequests = 0;
        malformed = null;
    }
}
