package plumpost.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** The bytes that a connection has to write and its socket has not taken yet. */
final class OutgoingBytes {
    private final ArrayDeque<ByteBuffer> parts = new ArrayDeque<>();
    private long size;

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Returns the number of bytes. */
    long size() {
        return size;
    }

    /** Adds bytes behind those already here; the position of the given buffer does not change. */
    void add(ByteBuffer part) {
        if (part.hasRemaining()) {
            parts.add(part.duplicate());
            size += part.remaining();
        }
    }

    /**
     * Copies as many bytes as fit into a buffer. Many small parts are written from one buffer, since a gathering write costs a
     * copy and part of a call for each.
     */
    void copyTo(ByteBuffer target) {
        for (ByteBuffer part : parts) {
            if (!target.hasRemaining()) {
                return;
            }
            target.put(part.slice(part.position(), Math.min(part.remaining(), target.remaining())));
        }
    }

    /** Removes the first bytes, which the socket has taken. */
    void advance(int bytes) {
        size -= bytes;
        for (int remaining = bytes; remaining > 0; ) {
            ByteBuffer part = parts.peek();
            int count = Math.min(remaining, part.remaining());
            part.position(part.position() + count);
            remaining -= count;
            if (!part.hasRemaining()) {
                parts.poll();
            }
        }
    }

    /** Drops all bytes. */
    void clear() {
        parts.clear();
        size = 0;
    }
}
