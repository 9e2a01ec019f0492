package plumpost.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Encodes the heads of HTTP answers, and text as bytes. */
public final class AnswerEncoder {
    private static final Map<Integer, String> REASONS = Map.of(
            200,
            "OK",
            400,
            "Bad Request",
            404,
            "Not Found",
            405,
            "Method Not Allowed",
            409,
            "Conflict",
            408,
            "Request Timeout",
            413,
            "Content Too Large",
            431,
            "Request Header Fields Too Large",
            500,
            "Internal Server Error",
            503,
            "Service Unavailable");

    private AnswerEncoder() {}

    /** Returns the head of an answer with a body of the given length; {@code fields} are complete header lines with CR LF. */
    public static ByteBuffer head(int status, int length, boolean close, String fields) {
        return ascii("HTTP/1.1 " + status + ' ' + REASONS.getOrDefault(status, "Status") + "\r\nContent-Length: "
                + length + "\r\n" + fields + (close ? "Connection: close\r\n\r\n" : "\r\n"));
    }

    /** Returns a text as bytes in ISO 8859-1. */
    public static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
