package plumpost.fleet;

import java.util.List;
import plumpost.durable.OrderLife;

/**
 * One record of the fleet's replicated log. A proposer that does not learn the outcome proposes its entry again, so
 * every entry can occur twice: applied a second time it changes nothing, or is refused because of a number that it
 * carries. {@code name} is the name of a scheduler; an incarnation is the number of one of its sessions, assigned by its
 * {@link Join} and never reused; a fence is the number of one ownership of a duty, assigned by the replicated state and
 * never reused.
 *
 * <p>The log stores the simple names of these records and their components in this order.
 */
public sealed interface Entry {
    /** A duty that a scheduler can own, and the site whose schedulers are preferred for it (empty for any site). */
    record Offer(String duty, String site) {}

    /**
     * A scheduler starts a session. Each process draws its own {@code nonce}, so that a join that is proposed twice starts
     * one session; {@code directoryId} is the identity of its data directory; {@code maxFormat} is the newest record
     * format that its program reads.
     */
    record Join(
            String name,
            String site,
            String directoryId,
            boolean voter,
            String nonce,
            int maxFormat,
            List<Offer> offers)
            implements Entry {}

    /**
     * A leader's verdict on a session, from the heartbeats that it has received; {@code term} is the leader's own term: a
     * verdict of an earlier term is refused.
     */
    record Judge(String name, long incarnation, Verdict verdict, long term) implements Entry {}

    /** The verdicts on a session. */
    enum Verdict {
        ALIVE,
        SUSPECT,
        LOST
    }

    /**
     * A scheduler shuts down in order: the first entry passes its duties on while it finishes its work, the one with
     * {@code last} ends its session.
     */
    record Leave(String name, long incarnation, boolean last) implements Entry {}

    /** An operator removes a scheduler permanently: its data directory cannot join again. */
    record Remove(String name) implements Entry {}

    /** Raises the record format that the fleet writes, once all members read it. */
    record Raise(int format) implements Entry {}

    /** The functions that a scheduler currently has workers for. */
    record Serves(String name, long incarnation, List<String> functions) implements Entry {}

    /** Passes a duty on to another scheduler; sent by its owner under that fence, or by an operator who has read the fence. */
    record Yield(String duty, long fence) implements Entry {}

    /** Bans a route node by hand, or lifts the ban. */
    record Ban(String node, boolean banned) implements Entry {}

    /**
     * What discovery reported to the owner of a site's duty: {@code text} holds lines of the node list, either the whole
     * list or the changes since the previous report.
     */
    record Word(String duty, long fence, long seq, boolean whole, String text) implements Entry {}

    /**
     * Schedules a job that starts at {@code startMs}, in Unix milliseconds. Its id is the handle that its client was given;
     * {@code repeatable} says whether it may run twice. A second job with the same key stands for the first one.
     */
    record Plan(String id, String function, String unique, byte[] body, double startMs, boolean repeatable)
            implements Entry {}

    /** The owner of the schedule assigns a due job to the session that is to run it. */
    record Fire(String id, long fence, String target, long incarnation) implements Entry {}

    /** That session is about to hand the job to a worker: from here on the job may have run. */
    record Begin(String id, String target, long incarnation) implements Entry {}

    /** The job has ended, or came back {@code unstarted} and is to be assigned to another session. */
    record End(String id, String target, long incarnation, boolean unstarted) implements Entry {}

    /** Cancels a job that has not been assigned to any session. */
    record CallOff(String id) implements Entry {}

    /** The session that proposes an entry. */
    record SessionId(String name, long incarnation) {}

    /** A session accepts a covered order and becomes its holder; the id is the handle that its client is given. */
    record Take(
            SessionId session,
            String id,
            String function,
            String unique,
            byte[] body,
            int priority,
            double patienceMs,
            boolean repeatable,
            boolean background)
            implements Entry {}

    /**
     * A session accepts a covered order that starts at {@code startMs}, in Unix milliseconds. Nobody holds it until a session
     * claims it. Since record format 2; before, {@link Plan} took such orders.
     */
    record TakeScheduled(
            SessionId session,
            String id,
            String function,
            String unique,
            byte[] body,
            double patienceMs,
            boolean repeatable,
            double startMs)
            implements Entry {}

    /**
     * A session reports an event of an order: that it is about to hand the order out (LEASE; {@code lease} is then the
     * latest one before it), that it gives up an order that is its own or, since record format 2, free, or the outcome under a lease, with the worker's result or error.
     */
    record Told(SessionId session, String id, OrderLife.Event event, int lease, byte[] result) implements Entry {}

    /** A session takes over free orders. */
    record Claim(SessionId session, List<String> ids) implements Entry {}

    /** A session releases orders that it holds and has not handed out. */
    record Release(SessionId session, List<String> ids) implements Entry {}

    /**
     * The owner of the ledger gives up orders whose worker has been awaited for long enough, and forgets those whose
     * outcome has been kept for long enough.
     */
    record Settle(long fence, List<String> givenUp, List<String> forgotten) implements Entry {}
}
