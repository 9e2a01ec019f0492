package plumpost.lab.gearman;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import plumpost.count.Counters;
import plumpost.net.SelectorLoop;
import plumpost.time.SystemClock;
import plumpost.time.TimerWheel;

/** An event loop of a load run with its clock, timers and random source; {@link #start} runs it on its own thread. */
final class LoadThread {
    final SystemClock clock = new SystemClock();
    final TimerWheel wheel = new TimerWheel(clock.nowMs());
    final SelectorLoop loop;
    final InetSocketAddress target;
    final Audit audit;
    final LoadPlan plan;
    final SplittableRandom random;
    private volatile boolean stopped;
    private volatile Throwable failure;
    private Thread thread;

    LoadThread(LoadPlan plan, Audit audit, long stream) throws IOException {
        this.plan = plan;
        this.audit = audit;
        this.target = plan.target();
        this.random = new SplittableRandom(plan.seed() * 31 + stream);
        this.loop = new SelectorLoop(clock, wheel, new Counters(), words -> audit.count("lab: " + words));
    }

    void schedule(double ms, Runnable action) {
        wheel.schedule(clock.nowMs() + ms, action);
    }

    void start(String name) {
        thread = new Thread(
                () -> {
                    try {
                        loop.run(() -> stopped);
                    } catch (IOException | RuntimeException e) {
                        failure = e;
                    }
                },
                name);
        thread.start();
    }

    void stop() throws IOException {
        stopped = true;
        loop.execute(() -> {});
        try {
            thread.join(5000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (failure != null) {
            throw new IOException("a laboratory thread ended: " + failure, failure);
        }
    }
}
