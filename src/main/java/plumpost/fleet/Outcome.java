package plumpost.fleet;

/**
 * The outcome of applying an entry.
 *
 * @param done whether the entry's effect holds now, by this entry or by an equal one before it
 * @param number the incarnation of a join, the fence of a duty, the lease of an order, the number of orders claimed,
 *     otherwise 0
 * @param detail the reason of a refusal, or the handle of a planned job or an order
 */
public record Outcome(boolean done, long number, String detail) {
    static final Outcome DONE = new Outcome(true, 0, "");

    static Outcome done(long number) {
        return new Outcome(true, number, "");
    }

    static Outcome refused(String why) {
        return new Outcome(false, 0, why);
    }
}
