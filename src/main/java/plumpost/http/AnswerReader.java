package plumpost.http;

import java.nio.ByteBuffer;
import java.util.Set;

/** Parses consecutive HTTP answers from the bytes fed to it; the body can be read by lines. It does no I/O itself. */
public final class AnswerReader {
    private final int bodyLimit;
    private Head head = new Head();
    private BodyReader bodyReader;
    private int status;
    private boolean endsWithConnection;

    /** Creates a reader that buffers at most the given number of body bytes. */
    public AnswerReader(int bodyLimit) {
        this.bodyLimit = bodyLimit;
    }

    /** Consumes bytes up to the end of the answer; returns true once it is complete. */
    public boolean feed(ByteBuffer received) throws BadMessageException {
        while (bodyReader == null) {
            if (!head.feed(received)) {
                return false;
            }
            String code = head.startLinePart(1);
            if (!head.startLinePart(0).startsWith("HTTP/1.") || !code.matches("[1-5][0-9][0-9]")) {
                throw new BadMessageException(502, "malformed status line");
            }
            status = Integer.parseInt(code);
            if (status < 200) {
                head = new Head();
                continue;
            }
            long framing = status == 204 || status == 304 ? 0 : head.framing();
            endsWithConnection = framing == -1;
            bodyReader = new BodyReader(endsWithConnection ? Long.MAX_VALUE : framing, bodyLimit, Set.of());
        }
        return bodyReader.feed(received);
    }

    /** Handles the end of the connection; returns true if that completes an answer without a stated length. */
    public boolean endOfStream() {
        if (bodyReader != null && endsWithConnection) {
            bodyReader.endOfStream();
            return true;
        }
        return false;
    }

    /** Returns whether the head is complete. */
    public boolean hasHead() {
        return bodyReader != null;
    }

    /** Returns the status code of the answer. */
    public int status() {
        return status;
    }

    /** Returns the head of the answer. */
    public Head head() {
        return head;
    }

    /** Returns the buffered part of the body. */
    public ByteBuffer body() {
        return bodyReader.bytes();
    }

    /**
     * Removes the next whole line from the buffered body and returns it without its line feed, or null if there is none yet. At
     * the end of the body the rest counts as a line.
     */
    public byte[] nextLine() {
        ByteBuffer buffered = bodyReader.bytes();
        for (int i = 0; i < buffered.remaining(); i++) {
            if (buffered.get(i) == '\n') {
                return copyAndDiscard(i, i + 1);
            }
        }
        return bodyReader.complete() && buffered.hasRemaining()
                ? copyAndDiscard(buffered.remaining(), buffered.remaining())
                : null;
    }

    /** Removes the buffered part of the body and returns it. */
    public byte[] takeBody() {
        int length = bodyReader.bytes().remaining();
        return copyAndDiscard(length, length);
    }

    private byte[] copyAndDiscard(int end, int discard) {
        byte[] taken = new byte[end];
        bodyReader.bytes().get(taken);
        bodyReader.discard(discard);
        return taken;
    }

    /** Returns whether the connection can carry another request after this answer. */
    public boolean keepsConnection() {
        return !endsWithConnection && !head.closesConnection(head.startLinePart(0));
    }

    /** Prepares for the next answer. */
    public void reset() {
        head = new Head();
        bodyReader = null;
    }
}
