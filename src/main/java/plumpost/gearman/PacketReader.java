package plumpost.gearman;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Takes packets, and where wanted the admin's text lines, out of the bytes it is fed; knows no socket. */
public final class PacketReader {
    /** Bytes that are not of the protocol, or more than is taken. */
    public static final class BadPacket extends Exception {
        private static final long serialVersionUID = 1L;
        private final String code;

        BadPacket(String code, String words) {
            super(words, null, false, false);
            this.code = code;
        }

        /** The code that an ERROR packet carries. */
        public String code() {
            return code;
        }
    }

    private static final int LINE_LIMIT = 1024;

    private final int magic;
    private final boolean lines;
    private final int limit;
    private final ByteBuffer head = ByteBuffer.allocate(12);
    private final StringBuilder line = new StringBuilder();
    private ByteBuffer body;
    private Packet.Type type;
    private String whole;

    /** A reader of packets with this magic, with bodies up to a limit. */
    public PacketReader(int magic, boolean lines, int limit) {
        this.magic = magic;
        this.lines = lines;
        this.limit = limit;
    }

    /** True while a packet or line has begun and is not whole. */
    public boolean midway() {
        return head.position() > 0 || body != null || line.length() > 0;
    }

    /** The text line that made {@link #next} return null, once; null if it was for want of bytes. */
    public String line() {
        String l = whole;
        whole = null;
        return l;
    }

    /** The next whole packet; null for want of bytes, or where a text line came instead. */
    public Packet next(ByteBuffer in) throws BadPacket {
        while (in.hasRemaining()) {
            if (body == null) {
                byte b = in.get();
                if (lines && head.position() == 0 && (line.length() > 0 || b != 0)) {
                    if (text(b)) {
                        return null;
                    }
                    continue;
                }
                head.put(b);
                if (head.hasRemaining()) {
                    continue;
                }
                begin();
            }
            int n = Math.min(body.remaining(), in.remaining());
            body.put(in.slice().limit(n));
            in.position(in.position() + n);
            if (!body.hasRemaining()) {
                return end();
            }
        }
        return body != null && !body.hasRemaining() ? end() : null;
    }

    private boolean text(byte b) throws BadPacket {
        if (b == '\n') {
            whole = line.toString().strip();
            line.setLength(0);
            return true;
        }
        if (line.length() == LINE_LIMIT || b < ' ' && b != '\r' && b != '\t') {
            throw new BadPacket("malformed", "neither a packet nor a line of text");
        }
        line.append((char) b);
        return false;
    }

    private void begin() throws BadPacket {
        head.flip();
        int said = head.getInt();
        type = Packet.Type.of(head.getInt());
        int size = head.getInt();
        head.clear();
        if (said != magic || type == null || size < 0) {
            throw new BadPacket("malformed", said != magic ? "wrong magic" : "unknown packet type or size");
        }
        if (size > limit) {
            throw new BadPacket("too_large", "a packet of " + size + " bytes");
        }
        body = ByteBuffer.allocate(size);
    }

    private Packet end() throws BadPacket {
        ByteBuffer all = body.flip();
        body = null;
        List<ByteBuffer> parts = new ArrayList<>(type.count);
        int from = 0;
        for (int i = 0; i < all.limit() && parts.size() < type.count - 1; i++) {
            if (all.get(i) == 0) {
                parts.add(all.slice(from, i - from));
                from = i + 1;
            }
        }
        if (type.count > 0) {
            parts.add(all.slice(from, all.limit() - from));
        }
        if (parts.size() != type.count || type.count == 0 && all.hasRemaining()) {
            throw new BadPacket("malformed", type + " with the wrong number of arguments");
        }
        return new Packet(type, parts);
    }
}
