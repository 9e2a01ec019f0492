package plumpost.fleet;

/**
 * What applying an entry came to.
 *
 * @param done whether it holds now, by this entry or an equal one before it
 * @param number the incarnation of a join, the fence of a duty, else 0
 * @param words why it was refused, or the handle of a plan
 */
public record Outcome(boolean done, long number, String words) {
    static final Outcome DONE = new Outcome(true, 0, "");

    static Outcome done(long number) {
        return new Outcome(true, number, "");
    }

    static Outcome refused(String why) {
        return new Outcome(false, 0, why);
    }
}
