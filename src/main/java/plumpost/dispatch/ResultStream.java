package plumpost.dispatch;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A result that comes in parts, over one or more attempts. Who waits is told each part once: a further attempt has to
 * tell the same bytes again before it may go on, so two attempts' parts are never mixed. Bounded in bytes.
 */
final class ResultStream {
    private final int most;
    private byte[] told = new byte[0];
    private int size;
    private int at;

    ResultStream(int most) {
        this.most = most;
    }

    /** A further attempt begins to tell the result from its start. */
    void again() {
        at = 0;
    }

    /** True once anything was told. */
    boolean begun() {
        return size > 0;
    }

    /** What was told so far. */
    ByteBuffer all() {
        return ByteBuffer.wrap(told, 0, size).asReadOnlyBuffer();
    }

    /**
     * Takes the next part of the present attempt. Returns what is new in it, which may be nothing; null where it is
     * too much, or not what an earlier attempt had told at this place.
     */
    ByteBuffer add(ByteBuffer part) {
        ByteBuffer p = part.duplicate();
        for (; at < size && p.hasRemaining(); at++) {
            if (p.get() != told[at]) {
                return null;
            }
        }
        if (p.remaining() > most - size) {
            return null;
        }
        ByteBuffer fresh = p.duplicate();
        if (p.hasRemaining()) {
            int n = p.remaining();
            if (size + n > told.length) {
                told = Arrays.copyOf(told, Math.min(most, Math.max(size + n, 2 * told.length)));
            }
            p.get(told, size, n);
            size += n;
            at = size;
        }
        return fresh;
    }

    /** True where the present attempt has told all that was told before. */
    boolean caughtUp() {
        return at == size;
    }
}
