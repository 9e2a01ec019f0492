package plumpost.lab.gearman;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import plumpost.count.Counters;
import plumpost.net.SelectorLoop;
import plumpost.time.SystemClock;
import plumpost.time.TimerWheel;

/** One thread of the laboratory: a loop with its clock, timers and draws. */
final class Yard {
    final SystemClock clock = new SystemClock();
    final TimerWheel wheel = new TimerWheel(clock.nowMs());
    final SelectorLoop loop;
    final InetSocketAddress target;
    final Audit audit;
    final LoadPlan plan;
    final SplittableRandom random;
    private volatile boolean over;
    private volatile Throwable fault;
    private Thread thread;

    Yard(LoadPlan plan, Audit audit, long stream) throws IOException {
        this.plan = plan;
        this.audit = audit;
        this.target = plan.target();
        this.random = new SplittableRandom(plan.seed() * 31 + stream);
        this.loop = new SelectorLoop(clock, wheel, new Counters(), words -> audit.count("lab: " + words));
    }

    void later(double ms, Runnable what) {
        wheel.at(clock.nowMs() + ms, what);
    }

    void start(String name) {
        thread = new Thread(
                () -> {
                    try {
                        loop.run(() -> over);
                    } catch (IOException | RuntimeException e) {
                        fault = e;
                    }
                },
                name);
        thread.start();
    }

    void stop() throws IOException {
        over = true;
        loop.onLoop(() -> {});
        try {
            thread.join(5000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (fault != null) {
            throw new IOException("a laboratory thread ended: " + fault, fault);
        }
    }
}
