package plumpost.dispatch;

import java.util.Locale;
import java.util.function.Consumer;
import plumpost.count.Counters;
import plumpost.decision.Dispatcher;
import plumpost.decision.Dispatcher.Ending;
import plumpost.time.TimerWheel;

/** The actions that the decision module requests. They are queued, and carried out once the module has returned. */
final class ModuleActions implements Dispatcher.Actions {
    private final DispatchCore core;
    private final JobLedger ledger;
    private final WorkerRegistry workers;
    private final EventQueue eventQueue;
    private final AttemptStarter starter;
    private final TimerWheel wheel;
    private final Counters counters;
    private final Consumer<String> log;

    ModuleActions(
            DispatchCore core,
            JobLedger ledger,
            WorkerRegistry workers,
            EventQueue eventQueue,
            AttemptStarter starter,
            TimerWheel wheel,
            Counters counters,
            Consumer<String> log) {
        this.core = core;
        this.ledger = ledger;
        this.workers = workers;
        this.eventQueue = eventQueue;
        this.starter = starter;
        this.wheel = wheel;
        this.counters = counters;
        this.log = log;
    }

    @Override
    public void assign(String jobId, String worker, double timeoutMs) {
        OpenJob job = ledger.find(jobId); // resolved now: its client may leave before this is carried out
        eventQueue.addAction(() -> {
            starter.start(jobId, job, worker);
            Attempt attempt = job == null ? null : job.outstandingAttempt();
            if (timeoutMs > 0 && attempt != null) {
                wheel.schedule(attempt.sentAtMs + timeoutMs, () -> {
                    if (attempt.ending == null) {
                        core.withdraw(job, Ending.TIMEOUT);
                    }
                });
            }
        });
    }

    @Override
    public void refuse(String jobId, double retryAfterMs) {
        finish(jobId, job -> core.refuse(job, retryAfterMs));
    }

    @Override
    public void fail(String jobId) {
        finish(jobId, core::fail);
    }

    private void finish(String jobId, Consumer<OpenJob> action) {
        eventQueue.addAction(() -> {
            OpenJob job = ledger.find(jobId);
            if (job != null) {
                action.accept(job);
                core.withdraw(job, Ending.CANCELLED);
            }
        });
    }

    @Override
    public void cancel(String jobId, int number) {
        eventQueue.addAction(() -> cancelAttempt(jobId, number));
    }

    @Override
    public void probe(String worker) {
        eventQueue.addAction(() -> sendProbe(worker));
    }

    @Override
    public void requestTimer(double atMs, long token) {
        wheel.schedule(atMs, () -> core.onTimer(token));
    }

    @Override
    public void requestWorkerList() {
        eventQueue.addAction(workers::subscribe);
    }

    @Override
    public void log(String text) {
        log.accept(text);
    }

    private void cancelAttempt(String jobId, int number) {
        OpenJob job = ledger.find(jobId);
        if (job != null && number < job.attempts.size() && job.attempts.get(number) == job.outstandingAttempt()) {
            core.withdraw(job, Ending.CANCELLED);
        }
    }

    private void sendProbe(String node) {
        WorkerRegistry.Node worker = workers.find(node);
        counters.count("probes.out");
        double sentAtMs = core.nowMs();
        Probe reply = (ending, report) -> {
            counters.count("probes." + ending.name().toLowerCase(Locale.ROOT));
            core.onProbeResult(node, ending, core.nowMs() - sentAtMs, report);
        };
        if (worker == null) {
            reply.ended(Ending.MOOT, null);
        } else {
            worker.listing.link().probe(reply);
        }
    }
}
