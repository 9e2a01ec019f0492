package plumpost.http;

/** Thrown for a message that violates HTTP/1.1 or exceeds a limit; carries the status code with which to answer it. */
public final class BadMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    BadMessageException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** Returns the status code with which to answer the message. */
    public int status() {
        return status;
    }
}
