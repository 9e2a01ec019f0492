package plumpost.fleet;

import java.util.List;
import plumpost.durable.OrderLife;

/**
 * One record of the fleet's log. Every entry may come twice, since who proposed it may not hear of its success and
 * proposes it again: applied a second time it changes nothing, or is refused by the number it carries. Names are a
 * scheduler's {@code name}; an incarnation is one life of it, given by its {@link Join}, never used again; a fence is
 * the number of one ownership of a duty, given by the book, never used again.
 */
public sealed interface Entry {
    /** A duty that a scheduler can take, and the site that it is best done at (empty for any). */
    record Offer(String duty, String site) {}

    /**
     * A scheduler begins a life. {@code nonce} is drawn anew by each process, so that a join that is proposed twice
     * begins one life; {@code disk} is the identity of its data directory; {@code reads} the newest record format that
     * its program reads.
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

    /** What a leader thinks of a life that it has not heard; {@code term} is its own term: an old leader is not believed. */
    record Judge(String name, long incarnation, Verdict verdict, long term) implements Entry {}

    /** What can be thought of a life. */
    enum Verdict {
        ALIVE,
        SUSPECT,
        LOST
    }

    /** A scheduler ends in order: first it passes its duties on and finishes what it has, at {@code last} it is gone. */
    record Leave(String name, long incarnation, boolean last) implements Entry {}

    /** An operator takes a scheduler out for good: its data directory never joins again. */
    record Remove(String name) implements Entry {}

    /** The fleet writes a newer record format from now on, since all members read it. */
    record Raise(int format) implements Entry {}

    /** The functions that a scheduler has workers for now. */
    record Serves(String name, long incarnation, List<String> functions) implements Entry {}

    /** The owner under that fence, or an operator who has read it, passes a duty on. */
    record Yield(String duty, long fence) implements Entry {}

    /** A route node taken out by hand, or called back. */
    record Ban(String node, boolean banned) implements Entry {}

    /** What discovery told the owner of a site's duty; {@code text} are list lines, whole or since the former word. */
    record Word(String duty, long fence, long seq, boolean whole, String text) implements Entry {}

    /**
     * A job that is to start at a time, in Unix milliseconds; its id is the handle that its client was given; {@code
     * again} says whether it may run twice. A second job under one key is the first one.
     */
    record Plan(String id, String function, String unique, byte[] body, double startMs, boolean repeatable)
            implements Entry {}

    /** The schedule's owner gives a job whose time has come to a life that is to run it. */
    record Fire(String id, long fence, String target, long incarnation) implements Entry {}

    /** That life is about to hand it to a worker: from here on it may have run. */
    record Begin(String id, String target, long incarnation) implements Entry {}

    /** It has ended, or it came back unstarted ({@code unstarted}) and is to be given to another life. */
    record End(String id, String target, long incarnation, boolean unstarted) implements Entry {}

    /** A job that has not been given to anyone is called off. */
    record CallOff(String id) implements Entry {}

    /** A life that speaks. */
    record SessionId(String name, long incarnation) {}

    /** A life takes a covered order, and holds it; the id is the handle that its client is given. */
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
     * What a life says of an order: that it is about to hand it out (LEASE; {@code lease} is then the latest before it),
     * or what came of it under a lease, with what its worker made or said.
     */
    record Told(SessionId session, String id, OrderLife.Event event, int lease, byte[] result) implements Entry {}

    /** A life takes free orders over. */
    record Claim(SessionId session, List<String> ids) implements Entry {}

    /** A life gives orders back that it holds and has not handed out. */
    record Release(SessionId session, List<String> ids) implements Entry {}

    /** The ledger's owner: whose worker was waited for long enough, and whose outcome was kept long enough. */
    record Settle(long fence, List<String> givenUp, List<String> forgotten) implements Entry {}
}
