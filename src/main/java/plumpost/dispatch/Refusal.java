package plumpost.dispatch;

/** Why a job is not accepted. It never runs, so that its client may submit it again. */
public enum Refusal {
    /** The limit on open jobs or on the bytes of their bodies is reached. */
    OPEN_JOBS("open_jobs"),
    /** Its outcome could not be kept for those who submit it again, because others use up the memory for outcomes. */
    OUTCOMES("outcomes"),
    /** So little time is left to its client that no attempt may begin. */
    TOO_LATE("too_late");

    private static final double RETRY_AFTER_MS = 1000;

    private final String text;

    Refusal(String text) {
        this.text = text;
    }

    /** Returns its name in logs and counters. */
    String text() {
        return text;
    }

    /** Returns after how many milliseconds the client may submit the job again. */
    double retryAfterMs() {
        return this == TOO_LATE ? 0 : RETRY_AFTER_MS;
    }
}
