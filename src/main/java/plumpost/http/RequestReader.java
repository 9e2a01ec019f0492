package plumpost.http;

import java.nio.ByteBuffer;
import java.util.Set;

/** Parses consecutive HTTP requests from the bytes fed to it; does no I/O itself. */
public final class RequestReader {
    private final int bodyLimit;
    private final Set<String> forbiddenTrailers;
    private Head head = new Head();
    private BodyReader bodyReader;
    private String method;
    private String version;
    private boolean discardsBody;

    /** Creates a reader that accepts bodies up to the given number of bytes. */
    public RequestReader(int bodyLimit) {
        this(bodyLimit, Set.of());
    }

    /** Creates a reader that also rejects trailers with the given names, in lower case. */
    public RequestReader(int bodyLimit, Set<String> forbiddenTrailers) {
        this.bodyLimit = bodyLimit;
        this.forbiddenTrailers = forbiddenTrailers;
    }

    /** Returns whether bytes behind a request may begin another one, as far as they go. */
    public static boolean mayBeginRequest(ByteBuffer bytes) {
        return Grammar.mayBeginRequest(bytes);
    }

    /** Consumes bytes up to the end of the request; returns true once it is complete. */
    public boolean feed(ByteBuffer received) throws BadMessageException {
        if (bodyReader == null) {
            if (!head.feed(received)) {
                return false;
            }
            method = head.startLinePart(0);
            version = head.startLinePart(2);
            if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
                throw new BadMessageException(400, "unknown version");
            }
            checkStartLine();
            checkHost();
            if (head.isRepeated("Content-Length")) {
                throw new BadMessageException(400, "more than one Content-Length");
            }
            long framing = head.framing();
            if (framing == -2 && version.equals("HTTP/1.0")) {
                throw new BadMessageException(400, "chunks are not known to this version");
            }
            bodyReader = new BodyReader(framing == -1 ? 0 : framing, bodyLimit, forbiddenTrailers);
            if (discardsBody) {
                bodyReader.discardAll();
            }
        }
        return bodyReader.feed(received);
    }

    private void checkStartLine() throws BadMessageException {
        for (int i = 0; i < method.length(); i++) {
            if (!Grammar.isToken((byte) method.charAt(i))) {
                throw new BadMessageException(400, "malformed method");
            }
        }
        if (!Grammar.isOriginForm(head.targetBytes())) {
            throw new BadMessageException(400, "malformed target");
        }
    }

    private void checkHost() throws BadMessageException {
        String host = head.field("Host");
        if (host == null && version.equals("HTTP/1.1")) {
            throw new BadMessageException(400, "no Host");
        }
        if (head.isRepeated("Host") || host != null && !Grammar.isHost(host)) {
            throw new BadMessageException(400, "malformed Host");
        }
    }

    /** Drops the body of the current request, which is to be refused: its bytes are read and not kept. */
    public void discardBody() {
        discardsBody = true;
        if (bodyReader != null) {
            bodyReader.discardAll();
        }
    }

    /** Returns whether the body of the current request is dropped. */
    public boolean discardsBody() {
        return discardsBody;
    }

    /** Returns whether a request has begun and is not complete. */
    public boolean isIncomplete() {
        return head.hasStarted() && (bodyReader == null || !bodyReader.complete());
    }

    /** Returns whether the client waits for status 100 before it sends the body. */
    public boolean awaitsContinue() {
        return bodyReader != null
                && !bodyReader.complete()
                && bodyReader.bytes().remaining() == 0
                && head.hasToken("Expect", "100-continue");
    }

    /** Returns the head of the request. */
    public Head head() {
        return head;
    }

    /** Returns the request method. */
    public String method() {
        return method;
    }

    /** Returns path and query, unchanged. */
    public ByteBuffer target() {
        return head.targetBytes();
    }

    /** Returns the path without the query. */
    public String path() {
        String target = head.startLinePart(1);
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the body. */
    public ByteBuffer body() {
        return bodyReader.bytes();
    }

    /** Returns whether the head of the current request is complete. */
    public boolean hasHead() {
        return bodyReader != null;
    }

    /** Returns how many bytes the body of the current request still takes at most; a large number while that is not known. */
    public long missingBodyBytes() {
        return bodyReader == null ? Integer.MAX_VALUE : bodyReader.missingBytes();
    }

    /** Returns the memory in use for the current request, in bytes. */
    public int capacity() {
        return head.capacity() + (bodyReader == null ? 0 : bodyReader.capacity());
    }

    /** Returns whether the client closes the connection after this request. */
    public boolean closesConnection() {
        return bodyReader != null && head.closesConnection(version);
    }

    /** Prepares for the next request; buffers returned for the last one stay valid. */
    public void reset() {
        head = new Head();
        bodyReader = null;
        discardsBody = false;
    }
}
