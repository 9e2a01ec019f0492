package plumpost.http;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Set;

/** Reads a message's body by its framing: a stated length, chunks, or everything until the connection ends. */
final class BodyReader {
    private final int maxBytes;
    /** The framing of a chunked body, or null for another one. */
    private final ChunkParser chunks;
    /** Bytes that are still to come of a body with a stated length. */
    private long remaining;

    private byte[] buffer = new byte[0];
    private int length;
    /** Whether the bytes are counted and dropped. */
    private boolean discarding;

    /**
     * Creates a reader for a body of {@code framing} bytes; -2 stands for chunks, Long.MAX_VALUE for the connection's end.
     *
     * @param forbiddenTrailers names of fields, in lower case, that a trailer must not hold besides those of HTTP
     */
    BodyReader(long framing, int maxBytes, Set<String> forbiddenTrailers) throws BadMessageException {
        this.maxBytes = maxBytes;
        chunks = framing == -2 ? new ChunkParser(forbiddenTrailers) : null;
        remaining = chunks == null ? framing : 0;
        if (framing > maxBytes && framing != Long.MAX_VALUE) {
            throw new BadMessageException(413, "body too large");
        }
    }

    /** Handles the end of the connection, which completes a body without a stated length. */
    void endOfStream() {
        if (remaining == Long.MAX_VALUE) {
            remaining = 0;
        }
    }

    boolean complete() {
        return chunks == null ? remaining == 0 : chunks.complete();
    }

    /** Returns the buffered bytes. */
    ByteBuffer bytes() {
        return ByteBuffer.wrap(buffer, 0, discarding ? 0 : length);
    }

    /** Returns the memory in use, in bytes. */
    int capacity() {
        return buffer.length;
    }

    /** Returns how many bytes are still to come; a large number for a body without a stated length. */
    long missingBytes() {
        return chunks != null || complete() ? Integer.MAX_VALUE : remaining;
    }

    /** Drops the bytes received so far and those still to come; the framing and the maximum size are checked all the same. */
    void discardAll() {
        discarding = true;
        buffer = new byte[0];
    }

    /** Drops the first bytes of the buffer, which have been processed. */
    void discard(int count) {
        System.arraycopy(buffer, count, buffer, 0, length - count);
        length -= count;
    }

    /** Consumes the bytes that belong to the body; returns true once it is complete. */
    boolean feed(ByteBuffer received) throws BadMessageException {
        while (!complete() && received.hasRemaining()) {
            if (chunks == null) {
                int count = readData(received, remaining);
                remaining -= remaining == Long.MAX_VALUE ? 0 : count;
            } else if (chunks.dataBytes() > 0) {
                chunks.dataRead(readData(received, chunks.dataBytes()));
            } else {
                chunks.feed(received.get());
            }
        }
        if (complete() && length < buffer.length && !discarding) {
            buffer = Arrays.copyOf(buffer, length);
        }
        return complete();
    }

    /** Reads data up to the given number of bytes, as far as it has been received; returns how many were read. */
    private int readData(ByteBuffer received, long expectedBytes) throws BadMessageException {
        int count = (int) Math.min(expectedBytes, received.remaining());
        if (length + count > maxBytes) {
            throw new BadMessageException(413, "body too large");
        }
        if (discarding) {
            received.position(received.position() + count);
        } else {
            if (length + count > buffer.length) {
                buffer = Arrays.copyOf(buffer, newCapacity(length + count));
            }
            received.get(buffer, length, count);
        }
        length += count;
        return count;
    }

    /** Returns twice the needed size, so that memory follows the bytes received, but not more than the stated length. */
    private int newCapacity(int neededBytes) {
        long statedBytes = chunks != null || remaining == Long.MAX_VALUE ? maxBytes : length + remaining;
        return (int) Math.min(Math.min(maxBytes, statedBytes), 2L * neededBytes);
    }
}
