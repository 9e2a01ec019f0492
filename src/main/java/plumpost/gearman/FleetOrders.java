package plumpost.gearman;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import plumpost.decision.Dispatcher.Effect;
import plumpost.dispatch.Attempt;
import plumpost.dispatch.JobRequest;
import plumpost.dispatch.LeaseAuthority;
import plumpost.dispatch.OpenJob;
import plumpost.dispatch.ReplyTo;
import plumpost.gearman.FunctionTable.Function;
import plumpost.peers.Fleet;
import plumpost.peers.Ledger;

/**
 * Covered orders at this front: what a client hands in is the fleet's before it hears JOB_CREATED; what is this
 * scheduler's to try is in its core, and handed out only under a lease; whoever waits is answered by the ledger, wherever
 * the order ran. Its handle is the same at every scheduler.
 */
final class FleetOrders implements Ledger.Holder, LeaseAuthority {
    /** Orders of the fleet in this core at once: more wait where they are, or with nobody. */
    private static final int MOST_HERE = 256;

    private static final double AGAIN_MS = 1000;
    /** The core's own word on an order whose time is up has so long to come through the log. */
    private static final double GRACE_MS = 100;

    private final GearmanFront door;
    private final Ledger ledger;
    private final Map<String, OpenJob> here = new HashMap<>();
    private final Map<String, Reply> replies = new HashMap<>();
    private final Map<String, List<Submission>> waiting = new HashMap<>();

    FleetOrders(GearmanFront door, Ledger ledger) {
        this.door = door;
        this.ledger = ledger;
        ledger.at(this);
    }

    boolean covers(JobRequest sheet) {
        return ledger.covers(door.set.classes().get(sheet.cls()).name());
    }

    /** Whether a job of this core is the fleet's, and its id its handle. */
    boolean has(String id) {
        return here.containsKey(id);
    }

    Ledger.Known known(String id) {
        return ledger.known(id);
    }

    Ledger.Known known(String function, String unique) {
        return unique == null ? null : ledger.known(function, unique);
    }

    /** The share that is done, where it runs here. */
    double share(String id) {
        OpenJob e = here.get(id);
        return e == null ? 0 : e.share();
    }

    // ---- clients ----

    /** Hands an order over to the fleet; then says what its client is told. */
    void take(JobRequest sheet, boolean background, Consumer<Fleet.Said> then) {
        byte[] body = new byte[sheet.body().remaining()];
        sheet.body().duplicate().get(body);
        String unique = sheet.work().unique();
        boolean again = door.set.classes().get(sheet.cls()).effect() != Effect.SINGLE_SHOT;
        ledger.take(
                new Ledger.Order(
                        door.handle(sheet.id()),
                        sheet.work().name(),
                        unique == null ? "" : unique,
                        body,
                        sheet.work().priority(),
                        sheet.patienceMs(),
                        again,
                        background),
                then);
    }

    /**
     * A client waits for an order's answer, so long at the most: it gets one, at once where there is one. Where nobody
     * has come to its order by then it is told that it failed; the order goes on, and its outcome is kept.
     */
    void waits(Submission s, double patienceMs) {
        Ledger.Known k = ledger.known(s.handle);
        if (k != null && k.ended()) {
            answer(s, k);
        } else {
            waiting.computeIfAbsent(s.handle, id -> new ArrayList<>(1)).add(s);
            door.kit.wheel().at(door.kit.clock().nowMs() + patienceMs + GRACE_MS, () -> {
                if (gone(s)) {
                    s.failed();
                }
            });
        }
    }

    /** A client that waited does not any more, its order goes on; whether it waited. */
    boolean gone(Submission s) {
        List<Submission> all = waiting.get(s.handle);
        boolean waited = all != null && all.remove(s);
        if (waited && all.isEmpty()) {
            waiting.remove(s.handle);
        }
        return waited;
    }

    private static void answer(Submission s, Ledger.Known k) {
        switch (k.stage()) {
            case SERVED -> s.served(ByteBuffer.wrap(k.result()));
            case REFUSED -> s.refused(AGAIN_MS);
            default -> {
                if (k.result().length > 0) {
                    s.failed(ByteBuffer.wrap(k.result()));
                } else {
                    s.failed();
                }
            }
        }
    }

    // ---- workers ----

    /** A worker reports the end of a job that this core does not have out: it may be an order of the fleet. */
    void late(String handle, ByteBuffer result) {
        if (ledger.known(handle) != null) {
            door.kit.counters().count("gearman.order_heard_late");
            ledger.told(handle, Ledger.Word.DONE, bytes(result));
        }
    }

    private static byte[] bytes(ByteBuffer b) {
        byte[] all = new byte[b.remaining()];
        b.duplicate().get(all);
        return all;
    }

    // ---- Ledger.Holder ----

    @Override
    public boolean hold(Ledger.Order o) {
        Function f = door.functions.find(o.function());
        if (f == null || door.stopping() || !door.room.hasRoom(o.body().length)) {
            return false;
        }
        String unique = o.unique().isEmpty() ? null : o.unique();
        JobRequest sheet = new JobRequest(
                o.id(),
                f.cls,
                null,
                ByteBuffer.wrap(o.body()),
                o.patienceMs(),
                Double.NaN,
                1,
                Double.NaN,
                0,
                null,
                false,
                null,
                new JobRequest.Work(
                        f.kind, f.name, unique, null, o.priority(), o.background() ? o.patienceMs() : Double.NaN));
        Reply reply = new Reply(o.id(), o.background());
        replies.put(o.id(), reply);
        OpenJob e = door.room.take(sheet, reply, this);
        if (e != null && !reply.over) {
            here.put(o.id(), e);
        }
        return true;
    }

    @Override
    public void drop(String id) {
        OpenJob e = here.get(id);
        if (e != null) {
            replies.get(id).silent = true;
            door.room.callOff(e);
        }
    }

    @Override
    public void ended(Ledger.Known k) {
        List<Submission> all = waiting.remove(k.id());
        if (all != null) {
            all.forEach(s -> answer(s, k));
        }
    }

    @Override
    public int room() {
        return door.stopping() ? 0 : MOST_HERE - here.size();
    }

    // ---- LeaseAuthority ----

    @Override
    public void ask(Attempt a, Consumer<Boolean> then) {
        ledger.lease(a.sheet().id(), then);
    }

    @Override
    public void unused(Attempt a) {
        ledger.told(a.sheet().id(), Ledger.Word.HANDED_BACK, new byte[0]);
    }

    /** What no worker has seen is tried again here; what may have run only where it may run twice. */
    @Override
    public void ended(Attempt a, boolean neverRan) {
        if (neverRan) {
            unused(a);
        } else if (a.jobClass().effect() == Effect.FREE) {
            ledger.tryAgain(a.sheet().id());
        }
    }

    /** Tells the ledger what came of an order here. */
    private final class Reply implements ReplyTo {
        private final String id;
        private final boolean background;
        private boolean silent;
        private boolean over;

        Reply(String id, boolean background) {
            this.id = id;
            this.background = background;
        }

        private void end(Ledger.Word word, byte[] result) {
            over = true;
            here.remove(id);
            replies.remove(id);
            if (!silent) {
                ledger.told(id, word, result);
            }
        }

        @Override
        public void served(ByteBuffer result) {
            end(Ledger.Word.DONE, bytes(result));
        }

        @Override
        public void refused(double retryAfterMs) {
            end(background ? Ledger.Word.RELEASED : Ledger.Word.GIVEN_UP, new byte[0]);
        }

        @Override
        public void failed() {
            end(Ledger.Word.STALLED, new byte[0]);
        }

        @Override
        public void failed(ByteBuffer why) {
            end(Ledger.Word.FAILED, bytes(why));
        }

        @Override
        public boolean waits() {
            return false;
        }

        @Override
        public void progressed(double share) {
            List.copyOf(waiting.getOrDefault(id, List.of())).forEach(s -> s.progressed(share));
        }

        @Override
        public void warned(ByteBuffer words) {
            List.copyOf(waiting.getOrDefault(id, List.of())).forEach(s -> s.warned(words));
        }
    }
}
