package plumpost.dispatch;

/**
 * Port to the processes of one scheduler that run beside each other or follow each other: which of them has run a job that may
 * not be repeated. Claims are made before the first attempt and outlive the process.
 */
public interface RunClaims {
    /** The claims of a scheduler that is always one process. */
    RunClaims NONE = new RunClaims() {
        @Override
        public boolean claim(String uniqueKey) {
            return true;
        }

        @Override
        public void release(String uniqueKey) {}

        @Override
        public boolean isClaimedElsewhere(String uniqueKey) {
            return false;
        }
    };

    /** Claims a job for this process; returns false if another process has claimed it before. */
    boolean claim(String uniqueKey);

    /** Gives a claim of this process back, because the job has certainly not run. */
    void release(String uniqueKey);

    /** Returns whether another process has claimed the job and may have run it. */
    boolean isClaimedElsewhere(String uniqueKey);
}
