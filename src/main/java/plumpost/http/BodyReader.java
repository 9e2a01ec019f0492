package plumpost.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Reads a message's body by its framing: a stated length, chunks, or everything until the connection ends. */
final class BodyReader {
    private enum Step {
        SIZE,
        EXTENSION,
        SIZE_END,
        DATA,
        DATA_END,
        DATA_END_2,
        TRAILER,
        TRAILER_END,
        DONE
    }

    private static final int MAX_TRAILER_BYTES = 4096;

    private final int maxBytes;
    private final boolean chunked;
    private Step step;
    private long remaining;
    private int sizeDigits;
    private int trailerBytes;
    private int trailerLineBytes;
    private byte[] buffer = new byte[0];
    private int length;
    /** Whether the bytes are counted and dropped. */
    private boolean discarding;

    /** Creates a reader for a body of {@code framing} bytes; -2 stands for chunks, Long.MAX_VALUE for the connection's end. */
    BodyReader(long framing, int maxBytes) throws BadMessageException {
        this.maxBytes = maxBytes;
        chunked = framing == -2;
        remaining = chunked ? 0 : framing;
        step = chunked ? Step.SIZE : framing == 0 ? Step.DONE : Step.DATA;
        if (framing > maxBytes && framing != Long.MAX_VALUE) {
            throw new BadMessageException(413, "body too large");
        }
    }

    /** Handles the end of the connection, which completes a body without a stated length. */
    void endOfStream() {
        if (remaining == Long.MAX_VALUE) {
            step = Step.DONE;
        }
    }

    boolean complete() {
        return step == Step.DONE;
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
        return chunked || complete() ? Integer.MAX_VALUE : remaining;
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
        while (step != Step.DONE && received.hasRemaining()) {
            if (step == Step.DATA) {
                readData(received);
            } else {
                readFraming(received.get());
            }
        }
        if (complete() && length < buffer.length && !discarding) {
            buffer = Arrays.copyOf(buffer, length);
        }
        return complete();
    }

    private void readData(ByteBuffer received) throws BadMessageException {
        int count = (int) Math.min(remaining, received.remaining());
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
        remaining -= remaining == Long.MAX_VALUE ? 0 : count;
        if (remaining == 0) {
            step = chunked ? Step.DATA_END : Step.DONE;
        }
    }

    /** Returns twice the needed size, so that memory follows the bytes received, but not more than the stated length. */
    private int newCapacity(int neededBytes) {
        long statedBytes = chunked || remaining == Long.MAX_VALUE ? maxBytes : length + remaining;
        return (int) Math.min(Math.min(maxBytes, statedBytes), 2L * neededBytes);
    }

    private void readFraming(byte next) throws BadMessageException {
        switch (step) {
            case SIZE -> {
                int digit = next < 0 ? -1 : Character.digit((char) next, 16);
                if (digit >= 0 && sizeDigits < 7) {
                    remaining = remaining << 4 | digit;
                    sizeDigits++;
                } else if (sizeDigits > 0 && (next == '\r' || next == ';' || next == ' ')) {
                    step = next == '\r' ? Step.SIZE_END : Step.EXTENSION;
                } else {
                    throw new BadMessageException(400, "malformed chunk size");
                }
            }
            case EXTENSION -> {
                if (++trailerBytes > MAX_TRAILER_BYTES || next == '\n') {
                    throw new BadMessageException(400, "malformed chunk extension");
                }
                step = next == '\r' ? Step.SIZE_END : step;
            }
            case SIZE_END -> {
                expect(next, '\n');
                sizeDigits = 0;
                step = remaining == 0 ? Step.TRAILER : Step.DATA;
            }
            case DATA_END -> {
                expect(next, '\r');
                step = Step.DATA_END_2;
            }
            case DATA_END_2 -> {
                expect(next, '\n');
                step = Step.SIZE;
            }
            case TRAILER -> {
                if (++trailerBytes > MAX_TRAILER_BYTES) {
                    throw new BadMessageException(431, "trailer too large");
                }
                if (next == '\r') {
                    step = Step.TRAILER_END;
                } else {
                    trailerLineBytes++;
                }
            }
            default -> {
                expect(next, '\n');
                step = trailerLineBytes == 0 ? Step.DONE : Step.TRAILER;
                trailerLineBytes = 0;
            }
        }
    }

    private static void expect(byte actual, char expected) throws BadMessageException {
        if (actual != expected) {
            throw new BadMessageException(400, "malformed chunk");
        }
    }
}
