package plumpost.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import plumpost.count.Counters;
import plumpost.net.SelectorLoop;
import plumpost.time.SystemClock;
import plumpost.time.TimerWheel;

/**
 * An event loop of the laboratory on its own thread, with a clock, timers and sockets. Code on the loop uses its state without
 * locks; other threads go through {@link #callOnLoop}. The loop measures its own lag, so that measurements can be validated.
 */
public final class LoopThread implements AutoCloseable {
    private static final double LAG_SAMPLE_INTERVAL_MS = 5;
    /** With this factor a recorded lag decays to a half within about a third of a second. */
    private static final double LAG_DECAY_PER_SAMPLE = 0.99;

    private final SystemClock clock = new SystemClock();
    private final TimerWheel wheel = new TimerWheel(clock.nowMs());
    private final SelectorLoop loop;
    private final Thread thread;
    private volatile boolean stopped;
    private volatile double worstLagMs;
    private volatile double recentLagMs;

    /** Creates a loop that does not run yet; {@code name} is the name of its thread. */
    public LoopThread(String name) throws IOException {
        loop = new SelectorLoop(clock, wheel, new Counters(), words -> {});
        thread = new Thread(this::run, name);
        watchLag();
    }

    /** Starts the thread; objects that were created for the loop before this call need no lock. */
    public void start() {
        thread.start();
    }

    private void run() {
        try {
            loop.run(() -> stopped);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void watchLag() {
        double due = clock.nowMs() + LAG_SAMPLE_INTERVAL_MS;
        wheel.schedule(due, () -> {
            watchLag();
            double lag = clock.nowMs() - due;
            worstLagMs = Math.max(worstLagMs, lag);
            recentLagMs = Math.max(lag, recentLagMs * LAG_DECAY_PER_SAMPLE);
        });
    }

    /** Returns the loop's clock. */
    public SystemClock clock() {
        return clock;
    }

    /** Returns the loop's timers. */
    public TimerWheel wheel() {
        return wheel;
    }

    /** Returns the loop that handles the sockets. */
    public SelectorLoop loop() {
        return loop;
    }

    /** Returns the largest lag in milliseconds since {@link #resetLag}. */
    public double worstLagMs() {
        return worstLagMs;
    }

    /** Returns the decaying maximum of recent lags in milliseconds. */
    public double recentLagMs() {
        return recentLagMs;
    }

    /** Resets the largest lag. */
    public void resetLag() {
        worstLagMs = 0;
    }

    /** Runs an action on the loop's thread, waits for it and returns its result. */
    public <T> T callOnLoop(Supplier<T> action) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        List<T> result = new ArrayList<>(1);
        loop.execute(() -> {
            try {
                result.add(action.get());
            } finally {
                done.countDown();
            }
        });
        done.await();
        return result.get(0);
    }

    /** Runs an action on the loop's thread and waits for it. */
    public void run(Runnable action) throws InterruptedException {
        callOnLoop(() -> {
            action.run();
            return true;
        });
    }

    /** Queues an action for the loop's thread without waiting for it. */
    public void runLater(Runnable action) {
        loop.execute(action);
    }

    @Override
    public void close() {
        stopped = true;
        loop.execute(() -> {});
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
