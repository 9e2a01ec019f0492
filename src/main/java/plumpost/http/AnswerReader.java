package plumpost.http;

import java.nio.ByteBuffer;

/** Parses consecutive HTTP answers from the bytes fed to it; the body can be read by lines. It does no I/O itself. */
public final class AnswerReader {
    private final int bodyLimit;
    private Head head = new Head();
    private BodyReader body;
    private int status;
    private boolean endsWithConnection;

    /** Creates a reader that buffers at most the given number of body bytes. */
    public AnswerReader(int bodyLimit) {
        this.bodyLimit = bodyLimit;
    }

    /** Consumes bytes up to the end of the answer; returns true once it is complete. */
    public boolean feed(ByteBuffer in) throws BadMessage {
        while (body == null) {
            if (!head.feed(in)) {
                return false;
            }
            String code = head.startLinePart(1);
            if (!head.startLinePart(0).startsWith("HTTP/1.") || !code.matches("[1-5][0-9][0-9]")) {
                throw new BadMessage(502, "malformed status line");
            }
            status = Integer.parseInt(code);
            if (status < 200) {
                head = new Head();
                continue;
            }
            long framing = status == 204 || status == 304 ? 0 : head.framing();
            endsWithConnection = framing == -1;
            body = new BodyReader(endsWithConnection ? Long.MAX_VALUE : framing, bodyLimit);
        }
        return body.feed(in);
    }

    /** Handles the end of the connection; returns true if that completes an answer without a stated length. */
    public boolean end() {
        if (body != null && endsWithConnection) {
            body.endOfStream();
            return true;
        }
        return false;
    }

    /** Returns whether the head is complete. */
    public boolean hasHead() {
        return body != null;
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
        return body.bytes();
    }

    /**
     * Removes the next whole line from the buffered body and returns it without its line feed, or null if there is none yet. At
     * the end of the body the rest counts as a line.
     */
    public byte[] line() {
        ByteBuffer in = body.bytes();
        for (int i = 0; i < in.remaining(); i++) {
            if (in.get(i) == '\n') {
                return copyAndDiscard(i, i + 1);
            }
        }
        return body.complete() && in.hasRemaining() ? copyAndDiscard(in.remaining(), in.remaining()) : null;
    }

    /** Removes the buffered part of the body and returns it. */
    public byte[] take() {
        int length = body.bytes().remaining();
        return copyAndDiscard(length, length);
    }

    private byte[] copyAndDiscard(int end, int discard) {
        byte[] taken = new byte[end];
        body.bytes().get(taken);
        body.discard(discard);
        return taken;
    }

    /** Returns whether the connection can carry another request after this answer. */
    public boolean keeps() {
        return !endsWithConnection && !head.closes(head.startLinePart(0));
    }

    /** Prepares for the next answer. */
    public void next() {
        head = new Head();
        body = null;
    }
}
