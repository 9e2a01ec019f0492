package plumpost.lab.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import plumpost.gearman.Packet;
import plumpost.gearman.Packet.Type;

/**
 * Gearman workers of one scheduler process. Each has its own connection, reconnects when it breaks, records every run in
 * the history under the job's data, and takes a fixed time per job. The static methods are clients that submit jobs and
 * record the answers.
 */
public final class LabWorkers implements Closeable {
    private final FleetLab.SchedulerProcess scheduler;
    private final History history;
    private final String[] functions;
    private final int workMs;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean closed;

    /** Starts the given number of workers for some functions, each of which takes {@code workMs} per job. */
    public LabWorkers(
            FleetLab.SchedulerProcess scheduler, History history, int workers, int workMs, String... functions) {
        this.scheduler = scheduler;
        this.history = history;
        this.functions = functions;
        this.workMs = workMs;
        for (int i = 0; i < workers; i++) {
            Thread thread = new Thread(this::runWorker, "worker at " + scheduler.name());
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void runWorker() {
        while (!closed) {
            try (GearmanConnection peer = new GearmanConnection(scheduler.gearmanPort(), 2000)) {
                for (String function : functions) {
                    peer.send(Type.CAN_DO, function);
                }
                serveJobs(peer);
            } catch (IOException e) {
                pause(50);
            }
        }
    }

    private void serveJobs(GearmanConnection peer) throws IOException {
        while (!closed) {
            peer.send(Type.GRAB_JOB);
            Packet packet = peer.next();
            while (packet.type() == Type.NOOP) { // a wake-up that crossed the grab, whose answer is still to come
                packet = peer.next();
            }
            if (packet.type() == Type.JOB_ASSIGN) {
                history.add(scheduler.name(), "run", packet.text(2));
                pause(workMs);
                peer.send(Type.WORK_COMPLETE, packet.text(0), "done");
            } else if (packet.type() == Type.NO_JOB) {
                peer.send(Type.PRE_SLEEP);
                try {
                    packet = peer.next(); // NOOP; a read timeout makes it grab again
                } catch (java.net.SocketTimeoutException e) {
                    continue;
                }
            }
        }
    }

    private static void pause(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Submits a job that starts at a time in Unix seconds; returns its handle, or null if it was not accepted. */
    public static String submitScheduled(
            FleetLab.SchedulerProcess scheduler, History history, String function, String key, long startAtS) {
        try (GearmanConnection peer = new GearmanConnection(scheduler.gearmanPort(), 5000)) {
            peer.send(Type.SUBMIT_JOB_EPOCH, function, key, startAtS, key);
            Packet packet = peer.next();
            boolean accepted = packet.type() == Type.JOB_CREATED;
            history.add(scheduler.name(), "function", key + " " + function);
            if (accepted) {
                history.add(scheduler.name(), "handle", key + " " + packet.text(0));
            }
            history.add(
                    scheduler.name(),
                    accepted ? "taken" : "not taken",
                    key + (accepted ? "" : " " + packet.text(0) + " " + packet.text(1)));
            return accepted ? packet.text(0) : null;
        } catch (IOException e) {
            history.add(scheduler.name(), "unanswered", key);
            return null;
        }
    }

    /** Submits a background job; returns its handle, or null if it was not accepted. */
    public static String submitBackground(
            FleetLab.SchedulerProcess scheduler, History history, String function, String key) {
        try (GearmanConnection peer = new GearmanConnection(scheduler.gearmanPort(), 5000)) {
            peer.send(Type.SUBMIT_JOB_BG, function, key, key);
            Packet packet = peer.next();
            history.add(
                    scheduler.name(),
                    packet.type() == Type.JOB_CREATED ? "taken" : "not taken",
                    key + " " + packet.text(0));
            return packet.type() == Type.JOB_CREATED ? packet.text(0) : null;
        } catch (IOException e) {
            history.add(scheduler.name(), "unanswered", key);
            return null;
        }
    }

    /**
     * Submits a job and waits for its end. Returns the type of the first packet other than JOB_CREATED, WORK_STATUS and
     * WORK_WARNING, or null if the connection failed or stayed silent for {@code timeoutMs}.
     */
    public static String submitAndWait(
            FleetLab.SchedulerProcess scheduler, History history, String function, String key, int timeoutMs) {
        try (GearmanConnection peer = new GearmanConnection(scheduler.gearmanPort(), timeoutMs)) {
            peer.send(Type.SUBMIT_JOB, function, key, key);
            Packet packet = peer.next();
            String firstType = packet.type().name();
            if (packet.type() == Type.JOB_CREATED) {
                history.add(scheduler.name(), "joined", key + " " + packet.text(0));
            }
            while (packet.type() == Type.JOB_CREATED
                    || packet.type() == Type.WORK_STATUS
                    || packet.type() == Type.WORK_WARNING) {
                packet = peer.next();
            }
            history.add(
                    scheduler.name(),
                    "answered",
                    key + " " + packet.type() + (firstType.equals("ERROR") ? " " + packet.text(1) : ""));
            return packet.type().name();
        } catch (IOException e) {
            history.add(scheduler.name(), "unanswered", key);
            return null;
        }
    }

    @Override
    public void close() {
        closed = true;
        threads.forEach(Thread::interrupt);
    }
}
