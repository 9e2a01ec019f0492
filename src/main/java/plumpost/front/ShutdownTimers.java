package plumpost.front;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import plumpost.net.LoopContext;
import plumpost.time.TimerWheel;

/**
 * Runs the steps of a front's shutdown once each, at the times of its {@link ShutdownSchedule}. Settings that take effect during
 * the shutdown can only bring the steps forward, because SIGKILL may follow as early as the shorter deadlines allow.
 */
public final class ShutdownTimers {
    private final double signalHandledAtMs;
    private final LoopContext context;
    private final List<Step> steps = new ArrayList<>(2);
    private double longestDeadlineMs = Double.POSITIVE_INFINITY;

    private static final class Step {
        private final ToDoubleFunction<ShutdownSchedule> time;
        private final Runnable action;
        private TimerWheel.Timer timer;
        private boolean done;

        private Step(ToDoubleFunction<ShutdownSchedule> time, Runnable action) {
            this.time = time;
            this.action = action;
        }

        private void run() {
            done = true;
            action.run();
        }
    }

    /** Creates timers without steps for a shutdown whose signal was handled at the given time of the loop's clock. */
    public ShutdownTimers(double signalHandledAtMs, LoopContext context) {
        this.signalHandledAtMs = signalHandledAtMs;
        this.context = context;
    }

    /** Adds a step, which runs at the time that is taken from the schedule. */
    public void add(ToDoubleFunction<ShutdownSchedule> time, Runnable action) {
        steps.add(new Step(time, action));
    }

    /** Starts the timers of the steps for the longest deadline in force, or brings those that have not run yet forward. */
    public void start(double newLongestDeadlineMs) {
        if (newLongestDeadlineMs >= longestDeadlineMs) {
            return;
        }
        longestDeadlineMs = newLongestDeadlineMs;
        ShutdownSchedule schedule = ShutdownSchedule.compute(signalHandledAtMs, longestDeadlineMs);
        for (Step step : steps) {
            if (step.timer != null) {
                step.timer.cancel();
            }
            if (!step.done) {
                step.timer = context.wheel().schedule(step.time.applyAsDouble(schedule), step::run);
            }
        }
    }
}
