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
 * A loop of the laboratory's own on a thread of its own, with a clock, timers and sockets. What runs on it touches its state
 * without locks; others ask it through {@link #on}. It measures how late it runs, so that its figures can be judged.
 */
public final class LoopThread implements AutoCloseable {
    private static final double LAG_LOOK_MS = 5;
    /** A lag fades to a half within about a third of a second. */
    private static final double LAG_FADES = 0.99;

    private final SystemClock clock = new SystemClock();
    private final TimerWheel wheel = new TimerWheel(clock.nowMs());
    private final SelectorLoop loop;
    private final Thread thread;
    private volatile boolean over;
    private volatile double worstLagMs;
    private volatile double recentLagMs;

    /** A loop that does not run yet. */
    public LoopThread(String name) throws IOException {
        loop = new SelectorLoop(clock, wheel, new Counters(), words -> {});
        thread = new Thread(this::run, name);
        watchLag();
    }

    /** Begins to run; whatever is made for the loop before needs no lock. */
    public void start() {
        thread.start();
    }

    private void run() {
        try {
            loop.run(() -> over);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void watchLag() {
        double due = clock.nowMs() + LAG_LOOK_MS;
        wheel.at(due, () -> {
            watchLag();
            double lag = clock.nowMs() - due;
            worstLagMs = Math.max(worstLagMs, lag);
            recentLagMs = Math.max(lag, recentLagMs * LAG_FADES);
        });
    }

    /** Its clock. */
    public SystemClock clock() {
        return clock;
    }

    /** Its timers. */
    public TimerWheel wheel() {
        return wheel;
    }

    /** Its sockets. */
    public SelectorLoop loop() {
        return loop;
    }

    /** The most in milliseconds that it was late by since {@link #resetLag}. */
    public double worstLagMs() {
        return worstLagMs;
    }

    /** The most in milliseconds that it was late by lately. */
    public double recentLagMs() {
        return recentLagMs;
    }

    /** Measures the worst lag anew from now on. */
    public void resetLag() {
        worstLagMs = 0;
    }

    /** Does something on the loop's thread and returns what it gives. */
    public <T> T on(Supplier<T> what) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        List<T> result = new ArrayList<>(1);
        loop.onLoop(() -> {
            try {
                result.add(what.get());
            } finally {
                done.countDown();
            }
        });
        done.await();
        return result.get(0);
    }

    /** Does something on the loop's thread and waits for it. */
    public void run(Runnable what) throws InterruptedException {
        on(() -> {
            what.run();
            return true;
        });
    }

    /** Does something on the loop's thread some time soon. */
    public void later(Runnable what) {
        loop.onLoop(what);
    }

    @Override
    public void close() {
        over = true;
        loop.onLoop(() -> {});
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
