package plumpost.durable;

/**
 * The life of one durable order as a pure state machine: what it was, what happened, what it becomes, and what has to
 * be done for it. Whoever drives it writes {@link Step#record} to disk before anything that the step asks for in
 * {@link Step#afterRecord} is done, and may do {@link Step#atOnce} at once.
 */
public final class OrderLife {
    /** Where an order stands. */
    public enum State {
        /** Acknowledged, and no worker has seen it. */
        TAKEN,
        /** The intent to hand it to a worker is on disk: from here on it may have run. */
        LEASED,
        /** Its worker has told of it. */
        STARTED,
        /** After a restart: it was leased, and its worker may come back and report. */
        AWAITED,
        /** Its worker said that it is done. */
        SERVED,
        /** Its worker said that it failed. */
        FAILED,
        /** Nobody knows whether it ran; its clients were told that it failed. */
        UNKNOWN;

        /** True once its clients have their one final answer. */
        public boolean ended() {
            return ordinal() >= SERVED.ordinal();
        }

        /** True where a worker may have run it. */
        public boolean mayHaveRun() {
            return this != TAKEN;
        }
    }

    /** What can happen to an order. */
    public enum Event {
        /** The module gives it to a worker. */
        LEASE,
        /** The worker has never seen it: it left, or did not grab it. */
        HANDED_BACK,
        /** The worker tells something of it. */
        HEARTBEAT,
        /** The worker says that it is done. */
        DONE,
        /** The worker says that it failed. */
        FAIL,
        /** The worker is lost, its lease has run out, or its time is up. */
        STALL,
        /** The scheduler starts anew and finds the order on disk. */
        RECOVER,
        /** Its client's time is up, or it was called off, and no worker has it. */
        GIVE_UP
    }

    /** What has to be done for an order. */
    public enum Deed {
        /** Hand it to the worker that the lease names. */
        HAND_OUT,
        /** Give it to the module again. */
        QUEUE,
        /** Tell all who wait that it is served, with its result. */
        ANSWER_SERVED,
        /** Tell all who wait that it failed. */
        ANSWER_FAILED,
        /** Keep the outcome for resubmits, and tell nobody. */
        KEEP_ONLY,
        /** Wait for its worker to come back, for the stated time. */
        AWAIT
    }

    /**
     * What an event makes of an order.
     *
     * @param state what it becomes
     * @param fence the number of its latest lease; a worker's word counts only under it
     * @param record whether the new state has to be on disk before {@code afterRecord} is done
     * @param atOnce what may be done without waiting for the disk, or null
     * @param afterRecord what is done once the state is on disk, or null
     */
    public record Step(State state, long fence, boolean record, Deed atOnce, Deed afterRecord) {}

    private OrderLife() {}

    /**
     * What an event makes of an order; null where it means nothing: a word under an old lease, or too late to count.
     *
     * @param fence the lease that the event speaks of; for {@link Event#LEASE} it is not read
     */
    public static Step next(State state, long latest, Event event, long fence) {
        boolean word = event != Event.LEASE && event != Event.RECOVER && event != Event.GIVE_UP;
        if (word && fence != latest) {
            return null;
        }
        return switch (event) {
            case LEASE -> state == State.TAKEN ? new Step(State.LEASED, latest + 1, true, null, Deed.HAND_OUT) : null;
            case HANDED_BACK -> state == State.LEASED ? new Step(State.TAKEN, latest, true, null, Deed.QUEUE) : null;
            case HEARTBEAT ->
                state == State.LEASED || state == State.AWAITED
                        ? new Step(State.STARTED, latest, false, null, null)
                        : null;
            case DONE -> done(state, latest, State.SERVED, Deed.ANSWER_SERVED);
            case FAIL -> done(state, latest, State.FAILED, Deed.ANSWER_FAILED);
            case STALL ->
                state.ended() || state == State.TAKEN
                        ? null
                        : new Step(State.UNKNOWN, latest, true, null, Deed.ANSWER_FAILED);
            case RECOVER ->
                state.ended()
                        ? new Step(state, latest, false, Deed.KEEP_ONLY, null)
                        : state == State.TAKEN
                                ? new Step(state, latest, false, Deed.QUEUE, null)
                                : new Step(State.AWAITED, latest, false, Deed.AWAIT, null);
            case GIVE_UP ->
                state == State.TAKEN ? new Step(State.FAILED, latest, true, null, Deed.ANSWER_FAILED) : null;
        };
    }

    private static Step done(State state, long latest, State becomes, Deed answer) {
        if (state == State.UNKNOWN) {
            // Its clients were told that it failed. The truth is kept, and is what a resubmit gets.
            return new Step(becomes, latest, true, null, Deed.KEEP_ONLY);
        }
        return state.ended() || state == State.TAKEN ? null : new Step(becomes, latest, true, null, answer);
    }
}
