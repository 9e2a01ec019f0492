package plumpost.platform;

import java.nio.ByteBuffer;

/** The bytes that a client has sent ahead of the answer to its current request. */
final class ReadAheadBuffer {
    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    private ByteBuffer bytes = EMPTY;

    boolean isEmpty() {
        return !bytes.hasRemaining();
    }

    /** Returns the number of bytes that wait to be parsed. */
    int size() {
        return bytes.remaining();
    }

    /** Returns the memory in use, which includes bytes that have been parsed already. */
    int capacity() {
        return bytes.capacity();
    }

    /** Returns the bytes for parsing in place. */
    ByteBuffer bytes() {
        return bytes;
    }

    /** Consumes the received bytes and keeps a copy behind those already here. */
    void append(ByteBuffer received) {
        if (received.hasRemaining()) {
            bytes = ByteBuffer.allocate(bytes.remaining() + received.remaining())
                    .put(bytes)
                    .put(received)
                    .flip();
        }
    }

    /** Frees the memory if all bytes have been parsed. */
    void releaseIfParsed() {
        if (isEmpty()) {
            bytes = EMPTY;
        }
    }

    /** Drops all bytes. */
    void clear() {
        bytes = EMPTY;
    }
}
