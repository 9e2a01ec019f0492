package plumpost.dispatch;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A result that arrives in parts, over one or more attempts, bounded in bytes. Clients get each part once: a further
 * attempt has to repeat the same bytes before it may continue, so that parts of two attempts are never mixed.
 */
final class ResultStream {
    private final int maxBytes;
    private byte[] bytes = new byte[0];
    private int size;
    private int position;

    ResultStream(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Starts over at the first byte because a further attempt repeats the result. */
    void restart() {
        position = 0;
    }

    /** Returns whether any bytes have been received. */
    boolean isStarted() {
        return size > 0;
    }

    /** Returns the bytes received so far. */
    ByteBuffer content() {
        return ByteBuffer.wrap(bytes, 0, size).asReadOnlyBuffer();
    }

    /**
     * Appends the next part of the current attempt. Returns the bytes in it that are new, possibly none, or null if the
     * result becomes too long or differs from what an earlier attempt sent at this position.
     */
    ByteBuffer append(ByteBuffer part) {
        ByteBuffer remaining = part.duplicate();
        for (; position < size && remaining.hasRemaining(); position++) {
            if (remaining.get() != bytes[position]) {
                return null;
            }
        }
        if (remaining.remaining() > maxBytes - size) {
            return null;
        }
        ByteBuffer added = remaining.duplicate();
        if (remaining.hasRemaining()) {
            int count = remaining.remaining();
            if (size + count > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.min(maxBytes, Math.max(size + count, 2 * bytes.length)));
            }
            remaining.get(bytes, size, count);
            size += count;
            position = size;
        }
        return added;
    }

    /** Returns whether the current attempt has sent everything that earlier attempts sent. */
    boolean hasCaughtUp() {
        return position == size;
    }
}
