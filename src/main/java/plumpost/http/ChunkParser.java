package plumpost.http;

import java.util.Locale;
import java.util.Set;

/** Parses the framing of a chunked body byte by byte: sizes, extensions, line ends and the trailer section (RFC 9112, 7.1). */
final class ChunkParser {
    private static final int MAX_SIZE_DIGITS = 64;
    private static final long MAX_CHUNK_BYTES = 1 << 28;
    private static final int MAX_EXTENSION_AND_TRAILER_BYTES = 4096;
    /** Fields of framing, routing and the form of the content, which no trailer may hold (RFC 9110, 6.5.1). */
    private static final Set<String> FORBIDDEN_TRAILERS = Set.of(
            "content-length",
            "transfer-encoding",
            "host",
            "connection",
            "trailer",
            "te",
            "expect",
            "content-encoding",
            "content-type",
            "content-range");

    private enum Step {
        SIZE,
        EXTENSION_GAP,
        EXTENSION_NAME_START,
        EXTENSION_NAME,
        EXTENSION_VALUE_START,
        EXTENSION_VALUE,
        QUOTED,
        QUOTED_PAIR,
        QUOTED_END,
        SIZE_LINE_FEED,
        DATA,
        DATA_CARRIAGE_RETURN,
        DATA_LINE_FEED,
        TRAILER_START,
        TRAILER_NAME,
        TRAILER_VALUE,
        TRAILER_LINE_FEED,
        LAST_LINE_FEED,
        DONE
    }

    private final Set<String> forbiddenTrailers;
    private Step step = Step.SIZE;
    private long size;
    private int sizeDigits;
    /** Whether a value may follow the blanks, because they stand behind the name of an extension. */
    private boolean valueMayFollow;

    private int extensionAndTrailerBytes;
    private final StringBuilder trailerName = new StringBuilder();

    /** Creates a parser that also rejects trailers with the given names, in lower case. */
    ChunkParser(Set<String> forbiddenTrailers) {
        this.forbiddenTrailers = forbiddenTrailers;
    }

    boolean complete() {
        return step == Step.DONE;
    }

    /** Returns how many bytes of data come next; 0 where framing comes. */
    long dataBytes() {
        return step == Step.DATA ? size : 0;
    }

    /** Records that bytes of data have been read. */
    void dataRead(int count) {
        size -= count;
        if (size == 0) {
            step = Step.DATA_CARRIAGE_RETURN;
        }
    }

    /** Parses the next byte of the framing. */
    void feed(byte next) throws BadMessageException {
        switch (step) {
            case SIZE -> readSize(next);
            case SIZE_LINE_FEED -> {
                expect(next, '\n');
                step = size == 0 ? Step.TRAILER_START : Step.DATA;
                sizeDigits = 0;
            }
            case DATA_CARRIAGE_RETURN -> {
                expect(next, '\r');
                step = Step.DATA_LINE_FEED;
            }
            case DATA_LINE_FEED -> {
                expect(next, '\n');
                step = Step.SIZE;
            }
            case TRAILER_START, TRAILER_NAME, TRAILER_VALUE, TRAILER_LINE_FEED, LAST_LINE_FEED -> readTrailer(next);
            default -> readExtension(next);
        }
    }

    private void readSize(byte next) throws BadMessageException {
        int digit = Grammar.hexDigit(next);
        if (digit >= 0 && sizeDigits < MAX_SIZE_DIGITS && size < MAX_CHUNK_BYTES) {
            size = size << 4 | digit;
            sizeDigits++;
        } else if (sizeDigits > 0 && digit < 0) {
            endExtensionPart(next, false, "malformed chunk size");
        } else {
            throw new BadMessageException(400, "malformed chunk size");
        }
    }

    /** Handles the byte behind a size, or behind the name or value of an extension. */
    private void endExtensionPart(byte next, boolean isName, String error) throws BadMessageException {
        valueMayFollow = isName;
        step = switch (next) {
            case '\r' -> Step.SIZE_LINE_FEED;
            case ';' -> Step.EXTENSION_NAME_START;
            case ' ', '\t' -> Step.EXTENSION_GAP;
            case '=' -> {
                if (!isName) {
                    throw new BadMessageException(400, error);
                }
                yield Step.EXTENSION_VALUE_START;
            }
            default -> throw new BadMessageException(400, error);
        };
    }

    private void readExtension(byte next) throws BadMessageException {
        countByte(400);
        String error = "malformed chunk extension";
        boolean blank = Grammar.isBlank(next);
        switch (step) {
            case EXTENSION_GAP -> {
                if (!blank) {
                    if (next == '\r') {
                        throw new BadMessageException(400, error);
                    }
                    endExtensionPart(next, valueMayFollow, error);
                }
            }
            case EXTENSION_NAME_START, EXTENSION_VALUE_START -> {
                if (step == Step.EXTENSION_VALUE_START && next == '"') {
                    step = Step.QUOTED;
                } else if (Grammar.isToken(next)) {
                    step = step == Step.EXTENSION_NAME_START ? Step.EXTENSION_NAME : Step.EXTENSION_VALUE;
                } else if (!blank) {
                    throw new BadMessageException(400, error);
                }
            }
            case EXTENSION_NAME, EXTENSION_VALUE -> {
                if (!Grammar.isToken(next)) {
                    endExtensionPart(next, step == Step.EXTENSION_NAME, error);
                }
            }
            case QUOTED, QUOTED_PAIR -> {
                if (!Grammar.isFieldText(next)) {
                    throw new BadMessageException(400, error);
                }
                boolean escaped = step == Step.QUOTED_PAIR;
                step = !escaped && next == '"'
                        ? Step.QUOTED_END
                        : !escaped && next == '\\' ? Step.QUOTED_PAIR : Step.QUOTED;
            }
            default -> endExtensionPart(next, false, error);
        }
    }

    private void readTrailer(byte next) throws BadMessageException {
        countByte(431);
        switch (step) {
            case TRAILER_START -> {
                if (next == '\r') {
                    step = Step.LAST_LINE_FEED;
                    return;
                }
                trailerName.setLength(0);
                step = Step.TRAILER_NAME;
                readTrailerName(next);
            }
            case TRAILER_NAME -> readTrailerName(next);
            case TRAILER_VALUE -> {
                if (next == '\r') {
                    step = Step.TRAILER_LINE_FEED;
                } else if (!Grammar.isFieldText(next)) {
                    throw new BadMessageException(400, "malformed trailer");
                }
            }
            default -> {
                expect(next, '\n');
                step = step == Step.LAST_LINE_FEED ? Step.DONE : Step.TRAILER_START;
            }
        }
    }

    private void readTrailerName(byte next) throws BadMessageException {
        if (Grammar.isToken(next)) {
            trailerName.append((char) next);
            return;
        }
        String name = trailerName.toString().toLowerCase(Locale.ROOT);
        if (next != ':' || name.isEmpty()) {
            throw new BadMessageException(400, "malformed trailer");
        }
        if (FORBIDDEN_TRAILERS.contains(name) || forbiddenTrailers.contains(name)) {
            throw new BadMessageException(400, "the field " + name + " in a trailer");
        }
        step = Step.TRAILER_VALUE;
    }

    private void countByte(int status) throws BadMessageException {
        if (++extensionAndTrailerBytes > MAX_EXTENSION_AND_TRAILER_BYTES) {
            throw new BadMessageException(status, "chunk extensions or trailer too large");
        }
    }

    private static void expect(byte actual, char expected) throws BadMessageException {
        if (actual != expected) {
            throw new BadMessageException(400, "malformed chunk");
        }
    }
}
