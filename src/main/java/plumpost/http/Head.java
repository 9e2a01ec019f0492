package plumpost.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Set;

/** The head of a message, parsed in place: the bytes as they came, and where its parts lie in them. */
public final class Head {
    private static final int LIMIT = 16 * 1024;
    private static final int MOST_FIELDS = 96;
    private static final Set<String> OF_THE_CONNECTION = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
            "host");
    private static final boolean[] TOKEN = new boolean[128];

    static {
        for (char c = '0'; c <= 'z'; c++) {
            TOKEN[c] = Character.isLetterOrDigit(c);
        }
        for (char c : "!#$%&'*+-.^_`|~".toCharArray()) {
            TOKEN[c] = true;
        }
    }

    private byte[] bytes = new byte[512];
    private int length;
    private int lineStart;
    private final int[] spots = new int[4 * MOST_FIELDS];
    private int fields;
    private int firstSpace;
    private int secondSpace;
    private int startEnd = -1;
    private boolean whole;

    /** Takes bytes up to the head's end; true once it is whole. */
    boolean feed(ByteBuffer in) throws BadMessage {
        while (!whole && in.hasRemaining()) {
            byte b = in.get();
            if (length == bytes.length) {
                if (length >= LIMIT) {
                    throw new BadMessage(431, "head too large");
                }
                bytes = Arrays.copyOf(bytes, Math.min(LIMIT, 2 * length));
            }
            bytes[length++] = b;
            if (b == '\n') {
                line();
            }
        }
        return whole;
    }

    private void line() throws BadMessage {
        int from = lineStart;
        int to = length - 2;
        if (to < from || bytes[to] != '\r') {
            throw new BadMessage(400, "a line ends without CR LF");
        }
        lineStart = length;
        if (startEnd < 0) {
            if (to > from) {
                startLine(from, to);
            } else {
                length = 0;
                lineStart = 0; // empty lines before a request are passed over
            }
        } else if (to == from) {
            whole = true;
        } else {
            field(from, to);
        }
    }

    private void startLine(int from, int to) throws BadMessage {
        startEnd = to;
        firstSpace = find((byte) ' ', from, to);
        secondSpace = firstSpace < 0 ? -1 : find((byte) ' ', firstSpace + 1, to);
        if (firstSpace <= from) {
            throw new BadMessage(400, "malformed start line");
        }
        for (int i = from; i < to; i++) {
            if (bytes[i] < ' ' || bytes[i] == 127) {
                throw new BadMessage(400, "a control character in the start line");
            }
        }
    }

    private void field(int from, int to) throws BadMessage {
        int colon = find((byte) ':', from, to);
        if (colon <= from) {
            throw new BadMessage(400, "a field without a name");
        }
        for (int i = from; i < colon; i++) {
            if (bytes[i] < 0 || !TOKEN[bytes[i]]) {
                throw new BadMessage(400, "malformed field name");
            }
        }
        int start = colon + 1;
        int end = to;
        while (start < end && blank(bytes[start])) {
            start++;
        }
        while (end > start && blank(bytes[end - 1])) {
            end--;
        }
        for (int i = start; i < end; i++) {
            if (bytes[i] >= 0 && bytes[i] < ' ' && bytes[i] != '\t' || bytes[i] == 127) {
                throw new BadMessage(400, "a control character in a field");
            }
        }
        if (fields == MOST_FIELDS) {
            throw new BadMessage(431, "too many fields");
        }
        int at = 4 * fields++;
        spots[at] = from;
        spots[at + 1] = colon;
        spots[at + 2] = start;
        spots[at + 3] = end;
    }

    private static boolean blank(byte b) {
        return b == ' ' || b == '\t';
    }

    private int find(byte what, int from, int to) {
        for (int i = from; i < to; i++) {
            if (bytes[i] == what) {
                return i;
            }
        }
        return -1;
    }

    /** True once any byte of a message has come. */
    boolean begun() {
        return length > 0;
    }

    /** The start line's first, second or third part, counted from 0. */
    String startPart(int part) {
        int from = part == 0 ? 0 : part == 1 ? firstSpace + 1 : secondSpace + 1;
        int to = part == 0 ? firstSpace : part == 1 && secondSpace >= 0 ? secondSpace : startEnd;
        return part == 2 && secondSpace < 0 ? "" : text(from, to);
    }

    /** The start line's second part as it stands in the message. */
    ByteBuffer startPartBytes() {
        int to = secondSpace < 0 ? startEnd : secondSpace;
        return ByteBuffer.wrap(bytes, firstSpace + 1, to - firstSpace - 1).slice();
    }

    private String text(int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    }

    /** The value of the first field of a name, or null. */
    public String field(String name) {
        int i = index(name, 0);
        return i < 0 ? null : value(i);
    }

    /** The value of the field of a name, or null where there is none or more than one. */
    public String only(String name) {
        int i = index(name, 0);
        return i < 0 || index(name, i + 1) >= 0 ? null : value(i);
    }

    private String value(int i) {
        return text(spots[4 * i + 2], spots[4 * i + 3]);
    }

    private int index(String name, int from) {
        for (int i = from; i < fields; i++) {
            int start = spots[4 * i];
            if (spots[4 * i + 1] - start == name.length() && same(name, start)) {
                return i;
            }
        }
        return -1;
    }

    private boolean same(String name, int start) {
        for (int k = 0; k < name.length(); k++) {
            if ((bytes[start + k] | 32) != (name.charAt(k) | 32)) {
                return false;
            }
        }
        return true;
    }

    /** True where a field of this name lists the given word. */
    public boolean lists(String name, String word) {
        for (int i = index(name, 0); i >= 0; i = index(name, i + 1)) {
            for (String part : value(i).split(",")) {
                if (part.strip().equalsIgnoreCase(word)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Whether the message's sender ends the connection after it. */
    public boolean closes(String version) {
        return version.equals("HTTP/1.0") || lists("Connection", "close");
    }

    /**
     * The fields that go with the message to whoever serves it, as they came: not those of this connection or of the
     * body's framing, nor those of the given names, which the sender of the next message words itself.
     */
    public String passedOn(Set<String> reworded) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < fields; i++) {
            String name = text(spots[4 * i], spots[4 * i + 1]).toLowerCase(Locale.ROOT);
            if (!OF_THE_CONNECTION.contains(name) && !reworded.contains(name) && !lists("Connection", name)) {
                all.append(text(spots[4 * i], spots[4 * i + 3])).append("\r\n");
            }
        }
        return all.toString();
    }

    /** The length of the body as the framing fields say it: -1 without such a field, -2 in chunks. */
    long framing() throws BadMessage {
        int lengthField = index("Content-Length", 0);
        int coding = index("Transfer-Encoding", 0);
        if (coding >= 0) {
            if (lengthField >= 0) {
                throw new BadMessage(400, "conflicting framing");
            }
            if (!value(coding).equalsIgnoreCase("chunked") || index("Transfer-Encoding", coding + 1) >= 0) {
                throw new BadMessage(400, "unknown transfer coding");
            }
            return -2;
        }
        if (lengthField < 0) {
            return -1;
        }
        String said = value(lengthField);
        for (int i = index("Content-Length", lengthField + 1); i >= 0; i = index("Content-Length", i + 1)) {
            if (!value(i).equals(said)) {
                throw new BadMessage(400, "conflicting framing");
            }
        }
        if (said.isEmpty() || said.length() > 18 || !said.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new BadMessage(400, "malformed Content-Length");
        }
        return Long.parseLong(said);
    }
}
