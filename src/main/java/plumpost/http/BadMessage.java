package plumpost.http;

/** A message that breaks HTTP/1.1 or a limit; it carries the status that answers it. */
public final class BadMessage extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    BadMessage(int status, String words) {
        super(words, null, false, false);
        this.status = status;
    }

    /** The status that answers the message. */
    public int status() {
        return status;
    }
}
