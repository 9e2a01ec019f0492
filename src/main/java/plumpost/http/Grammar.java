package plumpost.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The character classes and small rules of HTTP/1.1 messages (RFC 9110, RFC 9112) and of URIs (RFC 3986). */
final class Grammar {
    private static final String DIGITS_AND_LETTERS = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    private static final String UNRESERVED = DIGITS_AND_LETTERS + "-._~";
    private static final String SUB_DELIMS = "!$&'()*+,;=";
    private static final boolean[] TOKEN = table(DIGITS_AND_LETTERS + "!#$%&'*+-.^_`|~");
    private static final boolean[] PATH_OR_QUERY = table(UNRESERVED + SUB_DELIMS + ":@/?");
    private static final boolean[] REGISTERED_NAME = table(UNRESERVED + SUB_DELIMS);
    private static final boolean[] IP_LITERAL = table("0123456789ABCDEFabcdef:.");
    private static final List<byte[]> METHODS =
            List.of("GET ", "POST ", "HEAD ", "PUT ", "DELETE ", "PATCH ", "OPTIONS ", "TRACE ", "CONNECT ").stream()
                    .map(method -> method.getBytes(StandardCharsets.US_ASCII))
                    .toList();

    private Grammar() {}

    private static boolean[] table(String characters) {
        boolean[] table = new boolean[128];
        characters.chars().forEach(c -> table[c] = true);
        return table;
    }

    private static boolean isIn(boolean[] table, int character) {
        return character >= 0 && character < table.length && table[character];
    }

    static boolean isToken(byte character) {
        return isIn(TOKEN, character);
    }

    /** Returns whether a byte may stand in a field's value, a quoted string or a trailer's value. */
    static boolean isFieldText(byte character) {
        return character < 0 || character >= ' ' && character != 127 || character == '\t';
    }

    static boolean isBlank(byte character) {
        return character == ' ' || character == '\t';
    }

    /** Returns whether bytes are the origin form of a request's target: an absolute path and perhaps a query. */
    static boolean isOriginForm(ByteBuffer target) {
        return target.hasRemaining()
                && target.get(target.position()) == '/'
                && isEncoded(target, target.position(), target.limit(), PATH_OR_QUERY);
    }

    /** Returns whether all bytes are of a class or part of a percent-encoded byte. */
    private static boolean isEncoded(ByteBuffer bytes, int from, int to, boolean[] table) {
        for (int i = from; i < to; i++) {
            if (bytes.get(i) == '%') {
                if (i + 2 >= to || hexDigit(bytes.get(i + 1)) < 0 || hexDigit(bytes.get(i + 2)) < 0) {
                    return false;
                }
                i += 2;
            } else if (!isIn(table, bytes.get(i))) {
                return false;
            }
        }
        return true;
    }

    /** Returns the value of a hexadecimal digit, or -1. */
    static int hexDigit(byte character) {
        return character < 0 ? -1 : Character.digit((char) character, 16);
    }

    /** Returns whether text is a Host: empty, or a name or address with an optional port. */
    static boolean isHost(String text) {
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
        int end = text.startsWith("[") ? text.indexOf(']') + 1 : text.indexOf(':');
        int hostEnd = end < 0 ? text.length() : end;
        boolean validHost = text.startsWith("[")
                ? hostEnd > 2
                        && text.substring(1, hostEnd - 1).chars().allMatch(character -> isIn(IP_LITERAL, character))
                : isEncoded(bytes, 0, hostEnd, REGISTERED_NAME);
        String port = text.substring(hostEnd);
        return validHost
                && (port.isEmpty()
                        || port.charAt(0) == ':'
                                && port.substring(1).chars().allMatch(c -> c >= '0' && c <= '9')
                                && hostEnd > 0);
    }

    /**
     * Returns whether bytes may begin a request, after empty lines: with a registered method, as far as they go. A method of
     * another name is no request that this program serves.
     */
    static boolean mayBeginRequest(ByteBuffer bytes) {
        int start = bytes.position();
        while (start < bytes.limit() && (bytes.get(start) == '\r' || bytes.get(start) == '\n')) {
            start++;
        }
        int begin = start;
        return METHODS.stream().anyMatch(method -> startsAlike(bytes, begin, method));
    }

    private static boolean startsAlike(ByteBuffer bytes, int from, byte[] expected) {
        for (int i = 0; i < expected.length && from + i < bytes.limit(); i++) {
            if (bytes.get(from + i) != expected[i]) {
                return false;
            }
        }
        return true;
    }
}
