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

        BadPacket(String code, String words, boolean fatal) {
            super(words, null, false, false);
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
        private final long most;
        private long held;

        /** A budget of so many bytes. */
        public Budget(long most) {
            this.most = most;
        }

        private boolean take(long more) {
            if (held + more > most) {
                return false;
            }
            held += more;
            return true;
        }

        /** Bytes that are held now. */
        public long held() {
            return held;
        }
    }

    private static final int LINE_LIMIT = 1024;
    private static final int FIRST_BYTES = 4096;
    private static final int HEAD = 12;

    private final int magic;
    private final boolean lines;
    private final int limit;
    private final Budget budget;
    private final byte[] head = new byte[HEAD];
    private int headBytes;
    private StringBuilder line;
    private byte[] body;
    private int size;
    private int got;
    private long skip;
    private Packet.Type type;
    private String whole;

    /** A reader of packets with this magic, with bodies up to a limit. */
    public PacketReader(int magic, boolean lines, int limit) {
        this(magic, lines, limit, new Budget(Long.MAX_VALUE));
    }

    /** A reader that shares a budget with others. */
    public PacketReader(int magic, boolean lines, int limit, Budget budget) {
        this.magic = magic;
        this.lines = lines;
        this.limit = limit;
        this.budget = budget;
    }

    /** True while a packet or line has begun and is not whole. */
    public boolean midway() {
        return headBytes > 0 || body != null || skip > 0 || line != null;
    }

    /** Bytes of the packet under way, as its head says. */
    public long claimed() {
        return body != null ? size : skip;
    }

    /** The text line that made {@link #next} return null, once; null if it was for want of bytes. */
    public String line() {
        String l = whole;
        whole = null;
        return l;
    }

    /** Gives back what a packet under way holds: its connection has ended. */
    public void end() {
        if (body != null) {
            budget.held -= body.length;
            body = null;
        }
    }

    /** The next whole packet; null for want of bytes, or where a text line came instead. */
    public Packet next(ByteBuffer in) throws BadPacket {
        while (in.hasRemaining()) {
            if (skip > 0) {
                int n = (int) Math.min(skip, in.remaining());
                in.position(in.position() + n);
                skip -= n;
                continue;
            }
            if (body == null) {
                if (lines && headBytes == 0 && (line != null || in.get(in.position()) != 0)) {
                    if (text(in.get())) {
                        return null;
                    }
                    continue;
                }
                int n = Math.min(HEAD - headBytes, in.remaining());
                in.get(head, headBytes, n);
                headBytes += n;
                if (headBytes < HEAD) {
                    return null;
                }
                headBytes = 0;
                begin();
                if (got == size) {
                    return whole();
                }
                continue;
            }
            int n = Math.min(size - got, in.remaining());
            if (got + n > body.length) {
                grow(got + n);
            }
            if (body == null) { // no room: begin() has set what is passed over
                continue;
            }
            in.get(body, got, n);
            got += n;
            if (got == size) {
                return whole();
            }
        }
        return null;
    }

    private void grow(int need) throws BadPacket {
        int to = Math.min(size, Math.max(need, 2 * body.length));
        if (!budget.take(to - body.length)) {
            end();
            skip = size - got;
            throw new BadPacket(
                    "memory",
                    type + " of " + size + " bytes: limits.readingBytes " + budget.most + " is used up",
                    false);
        }
        body = Arrays.copyOf(body, to);
    }

    private boolean text(byte b) throws BadPacket {
        if (b == '\n') {
            whole = line == null ? "" : line.toString().strip();
            line = null;
            return true;
        }
        line = line == null ? new StringBuilder() : line;
        if (line.length() == LINE_LIMIT || b < ' ' && b != '\r' && b != '\t') {
            throw new BadPacket("malformed", "neither a packet nor a line of text", true);
        }
        line.append((char) b);
        return false;
    }

    private void begin() throws BadPacket {
        ByteBuffer h = ByteBuffer.wrap(head);
        int said = h.getInt();
        type = Packet.Type.of(h.getInt());
        size = h.getInt();
        got = 0;
        if (said != magic || type == null || size < 0) {
            throw new BadPacket("malformed", said != magic ? "wrong magic" : "unknown packet type or size", true);
        }
        int first = Math.min(size, FIRST_BYTES);
        if (size > limit || !budget.take(first)) {
            skip = size;
            throw size > limit
                    ? new BadPacket("too_large", type + " of " + size + " bytes: limits.packetBytes is " + limit, false)
                    : new BadPacket(
                            "memory",
                            type + " of " + size + " bytes: limits.readingBytes " + budget.most + " is used up",
                            false);
        }
        body = new byte[first];
    }

    private Packet whole() throws BadPacket {
        ByteBuffer all = ByteBuffer.wrap(body, 0, size);
        end();
        List<ByteBuffer> parts = new ArrayList<>(type.count);
        int from = 0;
        for (int i = 0; i < size && parts.size() < type.count - 1; i++) {
            if (all.get(i) == 0) {
                parts.add(all.slice(from, i - from));
                from = i + 1;
            }
        }
        if (type.count > 0) {
            parts.add(all.slice(from, size - from));
        }
        if (parts.size() != type.count || type.count == 0 && size > 0) {
            throw new BadPacket("malformed", type + " with the wrong number of arguments", true);
        }
        return new Packet(type, parts);
    }
}
