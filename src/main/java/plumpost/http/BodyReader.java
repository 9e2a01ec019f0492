package plumpost.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Takes a message's body out of its framing: a stated length, chunks, or all until the connection ends. */
final class BodyReader {
    private enum Step {
        SIZE,
        EXTENSION,
        SIZE_END,
        DATA,
        DATA_END,
        DATA_END_2,
        TRAILER,
        TRAILER_END,
        DONE
    }

    private static final int TRAILER_LIMIT = 4096;

    private final int limit;
    private final boolean chunked;
    private Step step;
    private long left;
    private int digits;
    private int trailer;
    private int trailerLine;
    private byte[] body = new byte[0];
    private int length;

    /** For a body of {@code framing} bytes, -2 in chunks, Long.MAX_VALUE until the end. */
    BodyReader(long framing, int limit) throws BadMessage {
        this.limit = limit;
        chunked = framing == -2;
        left = chunked ? 0 : framing;
        step = chunked ? Step.SIZE : framing == 0 ? Step.DONE : Step.DATA;
        if (framing > limit && framing != Long.MAX_VALUE) {
            throw new BadMessage(413, "body too large");
        }
    }

    /** The connection has ended: a body without a stated length is whole by that. */
    void end() {
        if (left == Long.MAX_VALUE) {
            step = Step.DONE;
        }
    }

    boolean whole() {
        return step == Step.DONE;
    }

    /** The bytes taken so far. */
    ByteBuffer taken() {
        return ByteBuffer.wrap(body, 0, length);
    }

    /** Forgets the first bytes, which have been dealt with. */
    void forget(int n) {
        System.arraycopy(body, n, body, 0, length - n);
        length -= n;
    }

    /** Takes what belongs to the body; true once it is whole. */
    boolean feed(ByteBuffer in) throws BadMessage {
        while (step != Step.DONE && in.hasRemaining()) {
            if (step == Step.DATA) {
                data(in);
            } else {
                framing(in.get());
            }
        }
        return whole();
    }

    private void data(ByteBuffer in) throws BadMessage {
        int n = (int) Math.min(left, in.remaining());
        if (length + n > limit) {
            throw new BadMessage(413, "body too large");
        }
        if (length + n > body.length) {
            long known = chunked || left == Long.MAX_VALUE ? 2L * (length + n) : length + left;
            body = Arrays.copyOf(body, (int) Math.min(limit, Math.max(length + n, known)));
        }
        in.get(body, length, n);
        length += n;
        left -= left == Long.MAX_VALUE ? 0 : n;
        if (left == 0) {
            step = chunked ? Step.DATA_END : Step.DONE;
        }
    }

    private void framing(byte b) throws BadMessage {
        switch (step) {
            case SIZE -> {
                int digit = b < 0 ? -1 : Character.digit((char) b, 16);
                if (digit >= 0 && digits < 7) {
                    left = left << 4 | digit;
                    digits++;
                } else if (digits > 0 && (b == '\r' || b == ';' || b == ' ')) {
                    step = b == '\r' ? Step.SIZE_END : Step.EXTENSION;
                } else {
                    throw new BadMessage(400, "malformed chunk size");
                }
            }
            case EXTENSION -> {
                if (++trailer > TRAILER_LIMIT || b == '\n') {
                    throw new BadMessage(400, "malformed chunk extension");
                }
                step = b == '\r' ? Step.SIZE_END : step;
            }
            case SIZE_END -> {
                expect(b, '\n');
                digits = 0;
                step = left == 0 ? Step.TRAILER : Step.DATA;
            }
            case DATA_END -> {
                expect(b, '\r');
                step = Step.DATA_END_2;
            }
            case DATA_END_2 -> {
                expect(b, '\n');
                step = Step.SIZE;
            }
            case TRAILER -> {
                if (++trailer > TRAILER_LIMIT) {
                    throw new BadMessage(431, "trailer too large");
                }
                if (b == '\r') {
                    step = Step.TRAILER_END;
                } else {
                    trailerLine++;
                }
            }
            default -> {
                expect(b, '\n');
                step = trailerLine == 0 ? Step.DONE : Step.TRAILER;
                trailerLine = 0;
            }
        }
    }

    private static void expect(byte b, char wanted) throws BadMessage {
        if (b != wanted) {
            throw new BadMessage(400, "malformed chunk");
        }
    }
}
