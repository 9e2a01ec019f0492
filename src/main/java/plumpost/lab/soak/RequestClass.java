package plumpost.lab.soak;

import java.util.List;
import plumpost.decision.Dispatcher.Effect;

/**
 * A class of requests as a settings file defines it.
 *
 * @param path its name, which is the path of its requests
 * @param deadlineMs how long its clients wait
 * @param effect what may be repeated of it
 */
record RequestClass(String path, double deadlineMs, Effect effect) {
    /** Safe to repeat. */
    static final RequestClass PLAN = new RequestClass("plan", 4_000, Effect.FREE);
    /** Must run at most once. */
    static final RequestClass ORDER = new RequestClass("order", 6_000, Effect.SINGLE_SHOT);
    /** Workers discard duplicates within a time window. */
    static final RequestClass ISSUE = new RequestClass("issue", 3_500, Effect.GUARDED);

    /** The classes of the first settings file, in its order. */
    static final List<RequestClass> INITIAL = List.of(PLAN, ORDER, ISSUE);

    /** Returns whether a request that may have run must not be sent again or refused. */
    boolean runsOnce() {
        return effect == Effect.SINGLE_SHOT;
    }

    /** Returns the class as an object of a settings file. */
    String json() {
        String effectName =
                switch (effect) {
                    case FREE -> "free";
                    case GUARDED -> "guarded";
                    case SINGLE_SHOT -> "single_shot";
                };
        return "{\"name\":\"" + path + "\",\"sloMs\":400.0,\"deadlineMs\":" + deadlineMs + ",\"effect\":\"" + effectName
                + "\",\"keyScope\":\"all\",\"windowMs\":2000.0}";
    }
}
