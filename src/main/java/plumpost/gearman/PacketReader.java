package plumpost.gearman;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Decodes packets and, if wanted, the admin's text lines from a stream of bytes; does no I/O. Memory grows with the
 * bytes received, not with the size that a header announces. A packet over a limit is reported once and skipped.
 */
public final class PacketReader {
    /** Input that is malformed or over a limit; the reader can go on if {@code fatal} is false. */
    public static final class BadPacket extends Exception {
        private static final long serialVersionUID = 1L;
        private final String code;
        private final boolean fatal;

        BadPacket(String code, String message, boolean fatal) {
            super(message, null, false, false);
            this.code = code;
            this.fatal = fatal;
        }

        /** Returns the error code for the ERROR packet. */
        public String code() {
            return code;
        }

        /** Returns true if the bytes that follow cannot be decoded. */
        public boolean fatal() {
            return fatal;
        }
    }

    /** A limit on the bytes that unfinished packets hold together, over all readers that share it. */
    public static final class Budget {
        private final long maxBytes;
        private long reservedBytes;

        /** Creates a budget of this many bytes. */
        public Budget(long maxBytes) {
            this.maxBytes = maxBytes;
        }

        private boolean reserve(long bytes) {
            if (reservedBytes + bytes > maxBytes) {
                return false;
            }
            reservedBytes += bytes;
            return true;
        }

        /** Returns the bytes that unfinished packets hold now. */
        public long reservedBytes() {
            return reservedBytes;
        }
    }

    private static final int MAX_LINE_LENGTH = 1024;
    private static final int INITIAL_BODY_BYTES = 4096;
    private static final int HEADER_BYTES = 12;

    private final int magic;
    private final boolean acceptsLines;
    private final int maxBodyBytes;
    private final Budget budget;
    private final byte[] header = new byte[HEADER_BYTES];
    private int headerReceived;
    private StringBuilder partialLine;
    private byte[] body;
    private int bodySize;
    private int bodyReceived;
    private long bytesToSkip;
    private Packet.Type type;
    private String completeLine;

    /**
     * Creates a reader without a shared budget.
     *
     * @param magic the magic code that every packet must have
     * @param acceptsLines whether text lines are accepted between packets
     * @param maxBodyBytes the largest body that is read
     */
    public PacketReader(int magic, boolean acceptsLines, int maxBodyBytes) {
        this(magic, acceptsLines, maxBodyBytes, new Budget(Long.MAX_VALUE));
    }

    /** Creates a reader that shares a budget with others. */
    public PacketReader(int magic, boolean acceptsLines, int maxBodyBytes, Budget budget) {
        this.magic = magic;
        this.acceptsLines = acceptsLines;
        this.maxBodyBytes = maxBodyBytes;
        this.budget = budget;
    }

    /** Returns whether a packet or line has begun and is not complete. */
    public boolean inProgress() {
        return headerReceived > 0 || body != null || bytesToSkip > 0 || partialLine != null;
    }

    /** Returns the body size that the unfinished packet's header announces, or the bytes left of a skipped packet. */
    public long claimedBytes() {
        return body != null ? bodySize : bytesToSkip;
    }

    /** Returns the text line that made {@link #next} return null, once; null if it returned null for lack of bytes. */
    public String takeLine() {
        String line = completeLine;
        completeLine = null;
        return line;
    }

    /** Returns the bytes that an unfinished packet holds to the budget, since its connection has ended. */
    public void release() {
        if (body != null) {
            budget.reservedBytes -= body.length;
            body = null;
        }
    }

    /** Returns the next complete packet; null if more bytes are needed or a text line was read instead. */
    public Packet next(ByteBuffer input) throws BadPacket {
        while (input.hasRemaining()) {
            if (bytesToSkip > 0) {
                int length = (int) Math.min(bytesToSkip, input.remaining());
                input.position(input.position() + length);
                bytesToSkip -= length;
                continue;
            }
            if (body == null) {
                if (acceptsLines && headerReceived == 0 && (partialLine != null || input.get(input.position()) != 0)) {
                    if (readTextByte(input.get())) {
                        return null;
                    }
                    continue;
                }
                int length = Math.min(HEADER_BYTES - headerReceived, input.remaining());
                input.get(header, headerReceived, length);
                headerReceived += length;
                if (headerReceived < HEADER_BYTES) {
                    return null;
                }
                headerReceived = 0;
                readHeader();
                if (bodyReceived == bodySize) {
                    return completePacket();
                }
                continue;
            }
            int length = Math.min(bodySize - bodyReceived, input.remaining());
            if (bodyReceived + length > body.length) {
                growBody(bodyReceived + length);
            }
            if (body == null) { // growBody() throws when the budget is used up, so that this does not occur
                continue;
            }
            input.get(body, bodyReceived, length);
            bodyReceived += length;
            if (bodyReceived == bodySize) {
                return completePacket();
            }
        }
        return null;
    }

    private void growBody(int neededBytes) throws BadPacket {
        int capacity = Math.min(bodySize, Math.max(neededBytes, 2 * body.length));
        if (!budget.reserve(capacity - body.length)) {
            release();
            bytesToSkip = bodySize - bodyReceived;
            throw new BadPacket(
                    "memory",
                    type + " of " + bodySize + " bytes: limits.readingBytes " + budget.maxBytes + " is used up",
                    false);
        }
        body = Arrays.copyOf(body, capacity);
    }

    private boolean readTextByte(byte next) throws BadPacket {
        if (next == '\n') {
            completeLine = partialLine == null ? "" : partialLine.toString().strip();
            partialLine = null;
            return true;
        }
        partialLine = partialLine == null ? new StringBuilder() : partialLine;
        if (partialLine.length() == MAX_LINE_LENGTH || next < ' ' && next != '\r' && next != '\t') {
            throw new BadPacket("malformed", "neither a packet nor a line of text", true);
        }
        partialLine.append((char) next);
        return false;
    }

    private void readHeader() throws BadPacket {
        ByteBuffer fields = ByteBuffer.wrap(header);
        int receivedMagic = fields.getInt();
        type = Packet.Type.forCode(fields.getInt());
        bodySize = fields.getInt();
        bodyReceived = 0;
        if (receivedMagic != magic || type == null || bodySize < 0) {
            throw new BadPacket(
                    "malformed", receivedMagic != magic ? "wrong magic" : "unknown packet type or size", true);
        }
        int initialBytes = Math.min(bodySize, INITIAL_BODY_BYTES);
        if (bodySize > maxBodyBytes || !budget.reserve(initialBytes)) {
            bytesToSkip = bodySize;
            throw bodySize > maxBodyBytes
                    ? new BadPacket(
                            "too_large",
                            type + " of " + bodySize + " bytes: limits.packetBytes is " + maxBodyBytes,
                            false)
                    : new BadPacket(
                            "memory",
                            type + " of " + bodySize + " bytes: limits.readingBytes " + budget.maxBytes + " is used up",
                            false);
        }
        body = new byte[initialBytes];
    }

    private Packet completePacket() throws BadPacket {
        ByteBuffer data = ByteBuffer.wrap(body, 0, bodySize);
        release();
        List<ByteBuffer> arguments = new ArrayList<>(type.argumentCount);
        int start = 0;
        for (int i = 0; i < bodySize && arguments.size() < type.argumentCount - 1; i++) {
            if (data.get(i) == 0) {
                arguments.add(data.slice(start, i - start));
                start = i + 1;
            }
        }
        if (type.argumentCount > 0) {
            arguments.add(data.slice(start, bodySize - start));
        }
        if (arguments.size() != type.argumentCount || type.argumentCount == 0 && bodySize > 0) {
            throw new BadPacket("malformed", type + " with the wrong number of arguments", true);
        }
        return new Packet(type, arguments);
    }
}
