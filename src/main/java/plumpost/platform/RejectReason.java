package plumpost.platform;

import java.util.Locale;

/** Why a request of a client is answered with an error before it becomes a job; the words appear in counters and logs. */
enum RejectReason {
    /** The message violates HTTP/1.1 or exceeds a limit. */
    MALFORMED_MESSAGE,
    /** A field of the platform's protocol is missing, has an invalid value or is given more than once. */
    MALFORMED_FIELD,
    /** The path names no class that is offered. */
    UNKNOWN_CLASS,
    /** The method is not the one that the path takes. */
    METHOD,
    /** The id is that of a request which is open or may have run. */
    KNOWN_ID,
    /** The request was not complete in time. */
    INCOMPLETE,
    /** The memory for requests that are being received is used up. */
    NO_MEMORY;

    private final String word = name().toLowerCase(Locale.ROOT);

    /** Returns the reason in one word. */
    String word() {
        return word;
    }
}
