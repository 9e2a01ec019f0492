package plumpost.peers;

import java.util.function.Consumer;

/**
 * The fleet's ledger of covered orders as a front sees it: what is taken here is known everywhere, goes on elsewhere when
 * this scheduler is lost, and is handed out only under a right that is granted once. All calls come from the scheduler's
 * loop, and so do all that it calls back.
 */
public interface Ledger {
    /**
     * An order.
     *
     * @param id the handle that its client is given
     * @param patienceMs for how long whoever holds it tries
     * @param repeatable whether it may run twice
     * @param background whether nobody waits for its answer
     */
    record Order(
            String id,
            String function,
            String unique,
            byte[] body,
            int priority,
            double patienceMs,
            boolean repeatable,
            boolean background) {}

    /** Where an order stands, as far as is known here. */
    enum Stage {
        /** No worker has it. */
        HELD,
        /** It may have run. */
        OUT,
        /** Its worker made its result. */
        SERVED,
        /** Its worker failed it. */
        FAILED,
        /** Nobody knows whether it ran. */
        UNKNOWN,
        /** It never ran and is known no more: it may be handed in anew. */
        REFUSED
    }

    /** An order's stage and its result, empty before its end. */
    record Known(String id, Stage stage, byte[] result) {
        /** Whether that is its final answer. */
        public boolean ended() {
            return stage.ordinal() >= Stage.SERVED.ordinal();
        }
    }

    /** What is said of an order. */
    enum Word {
        /** The right was not used: no worker has seen it. */
        HANDED_BACK,
        /** Its worker made its result. */
        DONE,
        /** Its worker failed it. */
        FAILED,
        /** Its worker is lost, or its time is up. */
        STALLED,
        /** It never ran and is not to be tried any more. */
        GIVEN_UP,
        /** It never ran and is to be tried by another, or later. */
        RELEASED
    }

    /** A front that holds orders. */
    interface Holder {
        /** An order is this scheduler's: it tries it until it says what came of it. False where it cannot. */
        boolean hold(Order order);

        /** An order is not this scheduler's any more: nothing is said of it, and no worker gets it. */
        void drop(String id);

        /** An order has its final answer: whoever waits for it here is told. */
        void ended(Known order);

        /** How many more orders it could hold. */
        int room();
    }

    /** Whether the file covers a class. */
    boolean covers(String className);

    /** The front that holds orders from now on. */
    void at(Holder holder);

    /** Takes an order; agreed, the words are its handle, another's where its key is known already. */
    void take(Order order, Consumer<Fleet.Said> callback);

    /** The order of a handle, or null. */
    Known known(String id);

    /** The order under a function and a client's key, or null. */
    Known known(String function, String unique);

    /** Asks for the right to hand an order out once; then says whether it was granted, or is another's or over. */
    void lease(String id, Consumer<Boolean> callback);

    /** An attempt of an order that may run twice has ended without an answer: its holder tries again, under a new lease. */
    void tryAgain(String id);

    /** Says what came of an order, by whoever holds it or heard its worker. */
    void told(String id, Word word, byte[] result);
}
