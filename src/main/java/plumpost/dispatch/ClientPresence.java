package plumpost.dispatch;

import java.util.List;

/** Finds out whether anybody still waits for a job, before an attempt of it is sent. */
enum ClientPresence {
    /** A client waits for the answer. */
    PRESENT,
    /** Every client has left, or the job has ended. */
    GONE,
    /** So much is unread on the clients' connections that their end may lie behind it. */
    UNKNOWN;

    /** Reads the clients' connections, as one may have closed since the last read. */
    static ClientPresence poll(OpenJob job) {
        boolean present = false;
        for (ReplyTo recipient : List.copyOf(job.recipients)) {
            boolean allRead = recipient.pollConnection();
            present |= allRead && job.recipients.contains(recipient);
        }
        if (job.answered || job.recipients.isEmpty()) {
            return GONE;
        }
        return present ? PRESENT : UNKNOWN;
    }
}
