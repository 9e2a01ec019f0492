package plumpost.http;

import java.nio.ByteBuffer;

/** Reads one request after the other out of the bytes it is fed; knows no socket. */
public final class RequestReader {
    private final int bodyLimit;
    private Head head = new Head();
    private BodyReader body;
    private String method;
    private String version;

    /** A reader that takes bodies up to a limit. */
    public RequestReader(int bodyLimit) {
        this.bodyLimit = bodyLimit;
    }

    /** Takes bytes up to the request's end; true once it is whole. */
    public boolean feed(ByteBuffer in) throws BadMessage {
        if (body == null) {
            if (!head.feed(in)) {
                return false;
            }
            method = head.startPart(0);
            version = head.startPart(2);
            if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
                throw new BadMessage(400, "unknown version");
            }
            if (version.equals("HTTP/1.1") && head.field("Host") == null) {
                throw new BadMessage(400, "no Host");
            }
            if (!head.startPart(1).startsWith("/")) {
                throw new BadMessage(400, "malformed target");
            }
            long framing = head.framing();
            if (framing == -2 && version.equals("HTTP/1.0")) {
                throw new BadMessage(400, "chunks are not known to this version");
            }
            body = new BodyReader(framing == -1 ? 0 : framing, bodyLimit);
        }
        return body.feed(in);
    }

    /** True while a request has begun and is not whole. */
    public boolean midway() {
        return head.begun() && (body == null || !body.whole());
    }

    /** True where the client waits for a word before it sends the body. */
    public boolean awaitsContinue() {
        return body != null && !body.whole() && body.taken().remaining() == 0 && head.lists("Expect", "100-continue");
    }

    /** The request's head. */
    public Head head() {
        return head;
    }

    /** The method. */
    public String method() {
        return method;
    }

    /** Path and query as they came. */
    public ByteBuffer target() {
        return head.startPartBytes();
    }

    /** The path without the query. */
    public String path() {
        String target = head.startPart(1);
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** The body. */
    public ByteBuffer body() {
        return body.taken();
    }

    /** Whether the client ends the connection after this request. */
    public boolean closes() {
        return head.closes(version);
    }

    /** Makes ready for the next request; what the last one gave out stays valid. */
    public void next() {
        head = new Head();
        body = null;
    }
}
