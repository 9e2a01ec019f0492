package plumpost.peers;

import java.util.List;
import java.util.function.Consumer;

/**
 * The fleet's ledger of covered orders as a front sees it: an order that is accepted here is known to all schedulers,
 * continues elsewhere if this scheduler is lost, and is handed out only under a lease that is granted once. All calls are
 * made on the scheduler's loop, and so are all callbacks.
 */
public interface Ledger {
    /**
     * A covered order.
     *
     * @param id the handle that its client is given
     * @param patienceMs for how many milliseconds its holder tries
     * @param repeatable whether it may run twice
     * @param background whether no client waits for its answer
     * @param startMs when it starts, in Unix milliseconds, or 0 for at once
     */
    record Order(
            String id,
            String function,
            String unique,
            byte[] body,
            int priority,
            double patienceMs,
            boolean repeatable,
            boolean background,
            double startMs) {}

    /** The stages of an order, as far as is known here. */
    enum Stage {
        /** No worker has it. */
        HELD,
        /** It may have run. */
        OUT,
        /** Its worker returned a result. */
        SERVED,
        /** Its worker reported a failure. */
        FAILED,
        /** It is not known whether it ran. */
        UNKNOWN,
        /** It never ran and has been forgotten: a client may submit it again. */
        REFUSED
    }

    /** An order's stage, its start time in Unix milliseconds or 0, and its result, empty before its end. */
    record OrderStatus(String id, Stage stage, double startMs, byte[] result) {
        /** Whether the order has its final answer. */
        public boolean ended() {
            return stage.ordinal() >= Stage.SERVED.ordinal();
        }
    }

    /** The reports on an order. */
    enum Report {
        /** The lease was not used: no worker has the order. */
        HANDED_BACK,
        /** Its worker returned a result. */
        DONE,
        /** Its worker reported a failure. */
        FAILED,
        /** Its worker is lost, or its time has run out. */
        STALLED,
        /** It never ran and is not tried any more. */
        GIVEN_UP,
        /** It never ran and is to be tried by another scheduler, or later. */
        RELEASED
    }

    /** A front that holds orders. */
    interface Holder {
        /** Tries an order, now held by this scheduler, until its outcome is reported. Returns false if it cannot. */
        boolean hold(Order order);

        /** Drops an order that this scheduler no longer holds: nothing is reported on it, and no worker gets it. */
        void drop(String id);

        /** An order has its final answer, which goes to the clients that wait for it here. */
        void ended(OrderStatus order);

        /** Whether clients here wait for the outcome of an order, held here or elsewhere. */
        boolean hasWaitingClients();

        /** The number of further orders that it could hold. */
        int capacity();
    }

    /** Whether the configuration covers a class. */
    boolean covers(String className);

    /** Sets the front that holds orders from now on. */
    void setHolder(Holder holder);

    /**
     * Accepts an order; if agreed the detail is its handle, or that of the order already known with the same key. The caller
     * is answered within {@code limitMs}; an order that is agreed on after that is given up and not handed out here.
     */
    void take(Order order, double limitMs, Consumer<Fleet.Reply> callback);

    /** Whether orders may have a start time: not before all members of the fleet know of them. */
    boolean takesStartTimes();

    /** Returns the handles of the orders whose start time has not come. */
    List<String> scheduledIds();

    /** Cancels an order that no scheduler holds, such as one whose start time has not come. */
    void cancel(String id, Consumer<Fleet.Reply> callback);

    /** Returns the status of the order with this handle, or null. */
    OrderStatus status(String id);

    /** Returns the status of the order with this function and client's key, or null. */
    OrderStatus status(String function, String unique);

    /**
     * Requests the right to hand an order out once. The callback receives whether it was granted; it is not if another
     * scheduler holds the order or the order is over.
     */
    void lease(String id, Consumer<Boolean> callback);

    /** An attempt of a repeatable order ended without an answer: its holder tries again, under a new lease. */
    void tryAgain(String id);

    /** Reports on an order, by the scheduler that holds it or that received its worker's report. */
    void report(String id, Report report, byte[] result);
}
