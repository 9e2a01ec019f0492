package plumpost.gearman;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Takes packets, and where wanted the admin's text lines, out of the bytes it is fed; knows no socket. Memory follows
 * the bytes that have come, not the size that is claimed; a packet over a limit is told once and passed over.
 */
public final class PacketReader {
    /** Bytes that are not of the protocol, or more than is taken; the reader can go on where {@code fatal} is false. */
    public static final class BadPacket extends Exception {
        private static final long serialVersionUID = 1L;
        private final String code;
        private final boolean fatal;

        BadPacket(String code, String message, boolean fatal) {
            super(message, null, false, false);
            this.code = code;
            this.fatal = fatal;
        }

        /** The code that an ERROR packet carries. */
        public String code() {
            return code;
        }

        /** True where the bytes that follow mean nothing any more. */
        public boolean fatal() {
            return fatal;
        }
    }

    /** Bytes that packets under way may hold together, over all readers that share it. */
    public static final class Budget {
        private final long maxBytes;
        private long reservedBytes;

        /** A budget of so many bytes. */
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

        /** Bytes that are held now. */
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

    /** A reader of packets with this magic, with bodies up to a limit. */
    public PacketReader(int magic, boolean acceptsLines, int maxBodyBytes) {
        this(magic, acceptsLines, maxBodyBytes, new Budget(Long.MAX_VALUE));
    }

    /** A reader that shares a budget with others. */
    public PacketReader(int magic, boolean acceptsLines, int maxBodyBytes, Budget budget) {
        this.magic = magic;
        this.acceptsLines = acceptsLines;
        this.maxBodyBytes = maxBodyBytes;
        this.budget = budget;
    }

    /** True while a packet or line has begun and is not whole. */
    public boolean inProgress() {
        return headerReceived > 0 || body != null || bytesToSkip > 0 || partialLine != null;
    }

    /** Bytes of the packet under way, as its head says. */
    public long claimedBytes() {
        return body != null ? bodySize : bytesToSkip;
    }

    /** The text line that made {@link #next} return null, once; null if it was for want of bytes. */
    public String takeLine() {
        String line = completeLine;
        completeLine = null;
        return line;
    }

    /** Gives back what a packet under way holds: its connection has ended. */
    public void release() {
        if (body != null) {
            budget.reservedBytes -= body.length;
            body = null;
        }
    }

    /** The next whole packet; null for want of bytes, or where a text line came instead. */
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
            if (body == null) { // no room: begin() has set what is passed over
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
        type = Packet.Type.of(fields.getInt());
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
