package plumpost.time;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Timer wheel with ticks of 2 ms; a timer runs at or after its due time, never before. */
public final class TimerWheel {
    /** Length of a tick in milliseconds. */
    public static final double TICK_MS = 2;

    private static final int SLOT_COUNT = 8192;

    /** A scheduled timer, which can be cancelled. */
    public static final class Timer {
        private final long dueTick;
        private Runnable action;

        private Timer(long dueTick, Runnable action) {
            this.dueTick = dueTick;
            this.action = action;
        }

        /** Cancels the timer; has no effect once it has run. */
        public void cancel() {
            action = null;
        }

        private void run() {
            Runnable current = action;
            action = null;
            current.run();
        }
    }

    private final List<List<Timer>> slots = new ArrayList<>(SLOT_COUNT);
    private final BitSet occupied = new BitSet(SLOT_COUNT);
    private long currentTick;

    /** Creates a wheel that starts at the given time. */
    public TimerWheel(double nowMs) {
        for (int i = 0; i < SLOT_COUNT; i++) {
            slots.add(new ArrayList<>(0));
        }
        currentTick = (long) Math.floor(nowMs / TICK_MS);
    }

    /** Schedules a timer; one that is already due runs in the next tick. */
    public Timer schedule(double dueMs, Runnable action) {
        Timer timer = new Timer(Math.max((long) Math.ceil(dueMs / TICK_MS), currentTick + 1), action);
        int slot = (int) (timer.dueTick % SLOT_COUNT);
        slots.get(slot).add(timer);
        occupied.set(slot);
        return timer;
    }

    /**
     * Runs the due timers, tick by tick. If timers throw, the first exception or error is rethrown once all others of the same
     * tick have run; later ticks are run by the next call.
     */
    public void advanceTo(double nowMs) {
        long targetTick = (long) Math.floor(nowMs / TICK_MS);
        while (currentTick < targetTick) {
            // Nothing can be due in a tick whose slot is empty: skip to the next occupied one.
            int slot = (int) ((currentTick + 1) % SLOT_COUNT);
            int nextOccupied = occupied.nextSetBit(slot);
            long ticksToSkip = nextOccupied < 0 ? SLOT_COUNT - slot : nextOccupied - slot;
            if (ticksToSkip > 0) {
                currentTick = Math.min(targetTick, currentTick + ticksToSkip);
                continue;
            }
            currentTick++;
            run(slot);
        }
    }

    private void run(int slot) {
        List<Timer> timers = slots.get(slot);
        slots.set(slot, new ArrayList<>(0));
        occupied.clear(slot);
        Throwable firstFailure = null;
        for (Timer timer : timers) {
            if (timer.action == null) {
                continue;
            }
            if (timer.dueTick > currentTick) {
                slots.get(slot).add(timer);
                occupied.set(slot);
                continue;
            }
            try {
                timer.run();
            } catch (RuntimeException | Error e) {
                firstFailure = firstFailure == null ? e : firstFailure;
            }
        }
        if (firstFailure instanceof Error error) {
            throw error;
        } else if (firstFailure instanceof RuntimeException exception) {
            throw exception;
        }
    }

    /** Returns a time before which no timer is due, at most the given span from now. */
    public double idleUntil(double nowMs, double spanMs) {
        int slot = (int) ((currentTick + 1) % SLOT_COUNT);
        int nextOccupied = occupied.nextSetBit(slot);
        long ticksAhead =
                nextOccupied >= 0 ? nextOccupied - slot : SLOT_COUNT - slot + Math.max(0, occupied.nextSetBit(0));
        return Math.min(nowMs + spanMs, (currentTick + 1 + ticksAhead) * TICK_MS);
    }
}
