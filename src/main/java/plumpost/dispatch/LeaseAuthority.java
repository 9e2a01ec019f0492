package plumpost.dispatch;

import java.util.function.Consumer;

/**
 * Port to an agreed ledger: the right to hand a job out. A job that comes with it is held back at its node's link until
 * the right is granted; one without costs nothing.
 */
public interface LeaseAuthority {
    /** Asks for the right to hand a job out once; then says, at once or later, whether it was granted. */
    void ask(Attempt a, Consumer<Boolean> then);

    /** The right was granted, and is not used: no node has seen the job. */
    void unused(Attempt a);

    /** An attempt under the right has ended without an answer; {@code neverRan} where no node has seen it. */
    void ended(Attempt a, boolean neverRan);
}
