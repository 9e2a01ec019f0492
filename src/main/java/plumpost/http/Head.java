package plumpost.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** The head of a message, parsed in place: the received bytes and the offsets of the parts in them. */
public final class Head {
    private static final int MAX_BYTES = 16 * 1024;
    private static final int MAX_FIELDS = 96;
    private static final int INITIAL_FIELDS = 12;
    private static final Set<String> HOP_BY_HOP_FIELDS = Set.of(
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
    private byte[] bytes = new byte[512];
    private int length;
    private int lineStart;
    /** Four offsets for each field: of its name, its colon, its value and its end. */
    private int[] fieldOffsets = new int[4 * INITIAL_FIELDS];

    private int fieldCount;
    private int firstSpace;
    private int secondSpace;
    private int startEnd = -1;
    private boolean complete;

    /** Consumes bytes up to the end of the head; returns true once it is complete. */
    boolean feed(ByteBuffer received) throws BadMessageException {
        while (!complete && received.hasRemaining()) {
            byte next = received.get();
            if (length == bytes.length) {
                if (length >= MAX_BYTES) {
                    throw new BadMessageException(431, "head too large");
                }
                bytes = Arrays.copyOf(bytes, Math.min(MAX_BYTES, 2 * length));
            }
            bytes[length++] = next;
            if (next == '\n') {
                endLine();
            }
        }
        return complete;
    }

    private void endLine() throws BadMessageException {
        int from = lineStart;
        int to = length - 2;
        if (to < from || bytes[to] != '\r') {
            throw new BadMessageException(400, "a line ends without CR LF");
        }
        lineStart = length;
        if (startEnd < 0) {
            if (to > from) {
                parseStartLine(from, to);
            } else {
                length = 0;
                lineStart = 0; // empty lines before the start line are ignored
            }
        } else if (to == from) {
            complete = true;
        } else {
            field(from, to);
        }
    }

    private void parseStartLine(int from, int to) throws BadMessageException {
        startEnd = to;
        firstSpace = find((byte) ' ', from, to);
        secondSpace = firstSpace < 0 ? -1 : find((byte) ' ', firstSpace + 1, to);
        if (firstSpace <= from) {
            throw new BadMessageException(400, "malformed start line");
        }
        for (int i = from; i < to; i++) {
            if (bytes[i] < ' ' || bytes[i] == 127) {
                throw new BadMessageException(400, "a control character in the start line");
            }
        }
    }

    private void field(int from, int to) throws BadMessageException {
        int colon = find((byte) ':', from, to);
        if (colon <= from) {
            throw new BadMessageException(400, "a field without a name");
        }
        for (int i = from; i < colon; i++) {
            if (!Grammar.isToken(bytes[i])) {
                throw new BadMessageException(400, "malformed field name");
            }
        }
        int start = colon + 1;
        int end = to;
        while (start < end && Grammar.isBlank(bytes[start])) {
            start++;
        }
        while (end > start && Grammar.isBlank(bytes[end - 1])) {
            end--;
        }
        for (int i = start; i < end; i++) {
            if (!Grammar.isFieldText(bytes[i])) {
                throw new BadMessageException(400, "a control character in a field");
            }
        }
        if (fieldCount == MAX_FIELDS) {
            throw new BadMessageException(431, "too many fields");
        }
        if (4 * fieldCount == fieldOffsets.length) {
            fieldOffsets = Arrays.copyOf(fieldOffsets, Math.min(4 * MAX_FIELDS, 2 * fieldOffsets.length));
        }
        int offset = 4 * fieldCount++;
        fieldOffsets[offset] = from;
        fieldOffsets[offset + 1] = colon;
        fieldOffsets[offset + 2] = start;
        fieldOffsets[offset + 3] = end;
    }

    private int find(byte wanted, int from, int to) {
        for (int i = from; i < to; i++) {
            if (bytes[i] == wanted) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the memory in use for the received bytes and the places of the fields in them. */
    int capacity() {
        return bytes.length + Integer.BYTES * fieldOffsets.length;
    }

    /** Returns whether any byte of the message has been received. */
    boolean hasStarted() {
        return length > 0;
    }

    /** Returns the first, second or third part of the start line, counted from 0. */
    String startLinePart(int part) {
        int from = part == 0 ? 0 : part == 1 ? firstSpace + 1 : secondSpace + 1;
        int to = part == 0 ? firstSpace : part == 1 && secondSpace >= 0 ? secondSpace : startEnd;
        return part == 2 && secondSpace < 0 ? "" : text(from, to);
    }

    /** Returns the bytes of the start line's second part, the request target. */
    ByteBuffer targetBytes() {
        int to = secondSpace < 0 ? startEnd : secondSpace;
        return ByteBuffer.wrap(bytes, firstSpace + 1, to - firstSpace - 1).slice();
    }

    private String text(int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    }

    /** Returns the value of the first field with a name, or null if there is none. */
    public String field(String name) {
        int i = indexOfField(name, 0);
        return i < 0 ? null : value(i);
    }

    /** Returns the value of the only field with a name, or null if there is none or more than one. */
    public String singleField(String name) {
        int i = indexOfField(name, 0);
        return i < 0 || indexOfField(name, i + 1) >= 0 ? null : value(i);
    }

    /** Returns whether more than one field has a name. */
    public boolean isRepeated(String name) {
        int i = indexOfField(name, 0);
        return i >= 0 && indexOfField(name, i + 1) >= 0;
    }

    /** Returns the values of all fields with a name. */
    public List<String> fields(String name) {
        List<String> values = new ArrayList<>();
        for (int i = indexOfField(name, 0); i >= 0; i = indexOfField(name, i + 1)) {
            values.add(value(i));
        }
        return values;
    }

    private String value(int i) {
        return text(fieldOffsets[4 * i + 2], fieldOffsets[4 * i + 3]);
    }

    private int indexOfField(String name, int first) {
        for (int i = first; i < fieldCount; i++) {
            int start = fieldOffsets[4 * i];
            if (fieldOffsets[4 * i + 1] - start == name.length() && matchesIgnoreCase(name, start)) {
                return i;
            }
        }
        return -1;
    }

    private boolean matchesIgnoreCase(String name, int start) {
        for (int i = 0; i < name.length(); i++) {
            if ((bytes[start + i] | 32) != (name.charAt(i) | 32)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether a comma-separated field with this name contains a token, ignoring case. */
    public boolean hasToken(String name, String token) {
        for (int i = indexOfField(name, 0); i >= 0; i = indexOfField(name, i + 1)) {
            for (String part : value(i).split(",")) {
                if (part.strip().equalsIgnoreCase(token)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns whether the sender closes the connection after this message. */
    public boolean closesConnection(String version) {
        return version.equals("HTTP/1.0") || hasToken("Connection", "close");
    }

    /**
     * Returns the field lines to forward with the message, unchanged. Hop-by-hop and framing fields are left out, and so are
     * the given names in lower case, which the forwarder writes itself.
     */
    public String forwardedFields(Set<String> excluded) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < fieldCount; i++) {
            String name = text(fieldOffsets[4 * i], fieldOffsets[4 * i + 1]).toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP_FIELDS.contains(name) && !excluded.contains(name) && !hasToken("Connection", name)) {
                text.append(text(fieldOffsets[4 * i], fieldOffsets[4 * i + 3])).append("\r\n");
            }
        }
        return text.toString();
    }

    /** Returns the length of the body by the framing fields: -1 without such a field, -2 for chunks. */
    long framing() throws BadMessageException {
        int lengthField = indexOfField("Content-Length", 0);
        int codingField = indexOfField("Transfer-Encoding", 0);
        if (codingField >= 0) {
            if (lengthField >= 0) {
                throw new BadMessageException(400, "conflicting framing");
            }
            if (!value(codingField).equalsIgnoreCase("chunked")
                    || indexOfField("Transfer-Encoding", codingField + 1) >= 0) {
                throw new BadMessageException(400, "unknown transfer coding");
            }
            return -2;
        }
        if (lengthField < 0) {
            return -1;
        }
        String contentLength = value(lengthField);
        for (int i = indexOfField("Content-Length", lengthField + 1);
                i >= 0;
                i = indexOfField("Content-Length", i + 1)) {
            if (!value(i).equals(contentLength)) {
                throw new BadMessageException(400, "conflicting framing");
            }
        }
        if (contentLength.isEmpty()
                || contentLength.length() > 18
                || !contentLength.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new BadMessageException(400, "malformed Content-Length");
        }
        return Long.parseLong(contentLength);
    }
}
