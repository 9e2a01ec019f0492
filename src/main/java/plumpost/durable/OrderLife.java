package plumpost.durable;

/**
 * The life cycle of one durable order as a state machine without side effects: from a state and an event it computes the
 * next state and the actions to take. If {@link Step#record} is set, the caller has to write the new state to disk before
 * it takes the action in {@link Step#actionAfterWrite}; it may take the action in {@link Step#immediateAction} without waiting.
 */
public final class OrderLife {
    /** State of an order. */
    public enum State {
        /** Accepted, and no worker has seen it. */
        TAKEN,
        /** The intent to hand it to a worker is recorded; from here on it may have run. */
        LEASED,
        /** Its worker has reported that it runs. */
        STARTED,
        /** It was leased before a restart, and its worker may reconnect and report. */
        AWAITED,
        /** Its worker reported success. */
        SERVED,
        /** Its worker reported failure, or it was given up before any worker had it. */
        FAILED,
        /** It is unknown whether it ran; its clients were answered that it failed. */
        UNKNOWN;

        /** Returns whether the order has ended, so that its clients get their one final answer. */
        public boolean ended() {
            return ordinal() >= SERVED.ordinal();
        }

        /** Returns whether a worker may have run it. */
        public boolean mayHaveRun() {
            return this != TAKEN;
        }
    }

    /** Event that can happen to an order. */
    public enum Event {
        /** The module assigns it to a worker. */
        LEASE,
        /** The worker never saw it, because it disconnected or did not grab it. */
        HANDED_BACK,
        /** The worker reports progress or other signs of a run. */
        HEARTBEAT,
        /** The worker reports success. */
        DONE,
        /** The worker reports failure. */
        FAIL,
        /** The worker is lost, the lease has expired, or the order's time is over. */
        STALL,
        /** The scheduler restarts and reads the order from disk. */
        RECOVER,
        /** Its client's time is over, or it was cancelled, and no worker has it. */
        GIVE_UP
    }

    /** Action to take for an order. */
    public enum Action {
        /** Hand it to the worker that the lease names. */
        HAND_OUT,
        /** Submit it to the module again. */
        QUEUE,
        /** Answer all waiting clients that it was served, with its result. */
        ANSWER_SERVED,
        /** Answer all waiting clients that it failed. */
        ANSWER_FAILED,
        /** Keep the outcome for resubmissions without answering anyone. */
        KEEP_ONLY,
        /** Wait for a limited time for its worker to reconnect. */
        AWAIT
    }

    /**
     * Transition of an order caused by an event.
     *
     * @param state the next state
     * @param fence the number of its latest lease; reports of a worker are valid only with this number
     * @param record whether the new state has to be on disk before {@code actionAfterWrite} is taken
     * @param immediateAction action that does not wait for the disk, or null
     * @param actionAfterWrite action to take once the state is on disk, or null
     */
    public record Step(State state, long fence, boolean record, Action immediateAction, Action actionAfterWrite) {}

    private OrderLife() {}

    /**
     * Returns the transition that an event causes, or null if the event is ignored because it belongs to an old lease or
     * does not apply to the state.
     *
     * @param state the present state
     * @param latestFence the number of the latest lease
     * @param event the event
     * @param fence the lease that a worker's report belongs to; not read for {@link Event#LEASE}, {@link Event#RECOVER}
     *     and {@link Event#GIVE_UP}
     */
    public static Step next(State state, long latestFence, Event event, long fence) {
        boolean fromWorker = event != Event.LEASE && event != Event.RECOVER && event != Event.GIVE_UP;
        if (fromWorker && fence != latestFence) {
            return null;
        }
        return switch (event) {
            case LEASE ->
                state == State.TAKEN ? new Step(State.LEASED, latestFence + 1, true, null, Action.HAND_OUT) : null;
            case HANDED_BACK ->
                state == State.LEASED ? new Step(State.TAKEN, latestFence, true, null, Action.QUEUE) : null;
            case HEARTBEAT ->
                state == State.LEASED || state == State.AWAITED
                        ? new Step(State.STARTED, latestFence, false, null, null)
                        : null;
            case DONE -> done(state, latestFence, State.SERVED, Action.ANSWER_SERVED);
            case FAIL -> done(state, latestFence, State.FAILED, Action.ANSWER_FAILED);
            case STALL ->
                state.ended() || state == State.TAKEN
                        ? null
                        : new Step(State.UNKNOWN, latestFence, true, null, Action.ANSWER_FAILED);
            case RECOVER ->
                state.ended()
                        ? new Step(state, latestFence, false, Action.KEEP_ONLY, null)
                        : state == State.TAKEN
                                ? new Step(state, latestFence, false, Action.QUEUE, null)
                                : new Step(State.AWAITED, latestFence, false, Action.AWAIT, null);
            case GIVE_UP ->
                state == State.TAKEN ? new Step(State.FAILED, latestFence, true, null, Action.ANSWER_FAILED) : null;
        };
    }

    private static Step done(State state, long latestFence, State next, Action answer) {
        if (state == State.UNKNOWN) {
            // Its clients were answered that it failed. The real outcome is kept for resubmissions.
            return new Step(next, latestFence, true, null, Action.KEEP_ONLY);
        }
        return state.ended() || state == State.TAKEN ? null : new Step(next, latestFence, true, null, answer);
    }
}
