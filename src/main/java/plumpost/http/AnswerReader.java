package plumpost.http;

import java.nio.ByteBuffer;

/** Reads one answer after the other out of the bytes it is fed, by whole lines where wanted; knows no socket. */
public final class AnswerReader {
    private final int bodyLimit;
    private Head head = new Head();
    private BodyReader body;
    private int status;
    private boolean toEnd;

    /** A reader that holds at most so much of a body at a time. */
    public AnswerReader(int bodyLimit) {
        this.bodyLimit = bodyLimit;
    }

    /** Takes bytes up to the answer's end; true once it is whole. */
    public boolean feed(ByteBuffer in) throws BadMessage {
        while (body == null) {
            if (!head.feed(in)) {
                return false;
            }
            String code = head.startPart(1);
            if (!head.startPart(0).startsWith("HTTP/1.") || !code.matches("[1-5][0-9][0-9]")) {
                throw new BadMessage(502, "malformed status line");
            }
            status = Integer.parseInt(code);
            if (status < 200) {
                head = new Head();
                continue;
            }
            long framing = status == 204 || status == 304 ? 0 : head.framing();
            toEnd = framing == -1;
            body = new BodyReader(toEnd ? Long.MAX_VALUE : framing, bodyLimit);
        }
        return body.feed(in);
    }

    /** The connection has ended; true where that makes whole an answer whose length was not told. */
    public boolean end() {
        if (body != null && toEnd) {
            body.end();
            return true;
        }
        return false;
    }

    /** True once the head has come. */
    public boolean hasHead() {
        return body != null;
    }

    /** The status. */
    public int status() {
        return status;
    }

    /** The head. */
    public Head head() {
        return head;
    }

    /** What has come of the body. */
    public ByteBuffer body() {
        return body.taken();
    }

    /** The next whole line of the body without its end, which is then forgotten; null while there is none. */
    public byte[] line() {
        ByteBuffer in = body.taken();
        for (int i = 0; i < in.remaining(); i++) {
            if (in.get(i) == '\n') {
                return cut(i, i + 1);
            }
        }
        return body.whole() && in.hasRemaining() ? cut(in.remaining(), in.remaining()) : null;
    }

    /** What has come of the body since it was last taken. */
    public byte[] take() {
        int n = body.taken().remaining();
        return cut(n, n);
    }

    private byte[] cut(int end, int forget) {
        byte[] line = new byte[end];
        body.taken().get(line);
        body.forget(forget);
        return line;
    }

    /** Whether the connection can take another request after this answer. */
    public boolean keeps() {
        return !toEnd && !head.closes(head.startPart(0));
    }

    /** Makes ready for the next answer. */
    public void next() {
        head = new Head();
        body = null;
    }
}
