package plumpost.lab.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import plumpost.lab.SchedulerProcess;
import plumpost.lab.faults.FaultLibrary;

/**
 * One scheduler of a soak over all its processes: its settings file, its lasting folder, its clock and system calls, and the
 * signals that it gets. Its calls block; one at a time changes the process.
 */
final class SchedulerSlot implements AutoCloseable {
    /** SIGKILL comes no sooner than that after SIGTERM (protocol page, deadlines of 3 s and more). */
    private static final long KILL_AFTER_MS = 3_700;

    private static final double READY_WITHIN_MS = 10_000;
    private static final int OPERATOR_TIMEOUT_MS = 2_000;

    /** What the run does with a process that came up or ended. */
    interface Events {
        /** The list of workers, for a configuration. */
        String knownWorkers() throws InterruptedException;

        /** A process is ready. */
        void up(SchedulerLife life) throws InterruptedException;

        /** Something about a life changes, on the thread that owns it. */
        void change(Runnable what) throws InterruptedException;

        /** A rule was broken by a process as a whole. */
        void violated(Oracle.Rule rule, String detail);

        /** The player's clock. */
        double nowMs();
    }

    private final int index;
    private final SoakPlan plan;
    private final String discovery;
    private final Path folder;
    private final Path settings;
    private final FaultLibrary faults;
    private final Events events;
    private SchedulerProcess process;
    private SchedulerLife life;
    private int lives;
    private boolean changing;
    private boolean breaking;
    private final AtomicBoolean holdingUp = new AtomicBoolean();

    SchedulerSlot(int index, SoakPlan plan, String discovery, Path folder, Events events)
            throws IOException, InterruptedException {
        this.index = index;
        this.plan = plan;
        this.discovery = discovery;
        this.folder = Files.createDirectories(folder);
        this.settings = folder.resolve("scheduler.json");
        this.events = events;
        faults = new FaultLibrary(folder.resolve("lasting"));
        Files.createDirectories(folder.resolve("lasting"));
    }

    FaultLibrary faults() {
        return faults;
    }

    SchedulerLife life() {
        return life;
    }

    /** Begins a change of the process; false where one is under way. */
    private synchronized boolean begin() {
        boolean mine = !changing;
        changing = true;
        return mine;
    }

    private synchronized void end() {
        changing = false;
    }

    void start() throws IOException, InterruptedException {
        Files.writeString(settings, configuration(events.knownWorkers()));
        Map<String, String> environment = new HashMap<>(faults.environment());
        environment.put("TMPDIR", folder.resolve("lasting").toString());
        double began = events.nowMs();
        process = new SchedulerProcess(plan.program(), settings, environment);
        process.awaitReady();
        double tookMs = events.nowMs() - began;
        if (tookMs > READY_WITHIN_MS) {
            events.violated(
                    Oracle.Rule.CRASH, "scheduler " + index + " was ready only after " + Math.round(tookMs) + " ms");
        }
        SchedulerLife now = new SchedulerLife(index, lives++, process.front(), events.nowMs());
        now.connectionsBreak = breaking;
        life = now;
        events.up(now);
        SchedulerProcess mine = process;
        mine.handle().onExit().thenRun(() -> exited(now, mine));
    }

    private void exited(SchedulerLife ended, SchedulerProcess its) {
        if (!ended.terminated() && !ended.over()) {
            events.violated(Oracle.Rule.CRASH, ended + " ended by itself: " + last(its.log()));
        }
        its.log().stream()
                .filter(line -> line.contains(": guard ") || line.contains("fault "))
                .forEach(line -> events.violated(Oracle.Rule.GUARD, ended + ": " + line));
    }

    private static List<String> last(List<String> log) {
        return log.subList(Math.max(0, log.size() - 5), log.size());
    }

    /** SIGTERM, SIGKILL as early as is allowed, and a new process after a pause. */
    void restart(long pauseMs) throws IOException, InterruptedException {
        if (!begin()) {
            return;
        }
        try {
            SchedulerLife ending = life;
            double now = events.nowMs();
            events.change(() -> ending.terminatedAt = now);
            process.terminate();
            int code = process.awaitEnd(KILL_AFTER_MS);
            if (code > 0) {
                events.violated(Oracle.Rule.CRASH, ending + " ended with " + code);
            }
            process.kill();
            process.awaitEnd(KILL_AFTER_MS);
            double over = events.nowMs();
            events.change(() -> {
                ending.endedAt = over;
                ending.endedInOrder = code == 0;
            });
            Thread.sleep(pauseMs);
            start();
        } finally {
            end();
        }
    }

    /** SIGKILL without notice, and a new process after a pause. */
    void kill(long pauseMs) throws IOException, InterruptedException {
        if (!begin()) {
            return;
        }
        try {
            SchedulerLife ending = life;
            double now = events.nowMs();
            events.change(() -> ending.endedAt = now);
            process.kill();
            process.awaitEnd(KILL_AFTER_MS);
            Thread.sleep(pauseMs);
            start();
        } finally {
            end();
        }
    }

    /** So large a part of reads and writes finds its connection broken from now on, in later processes too. */
    void breakConnections(double part) throws InterruptedException {
        breaking = part > 0;
        SchedulerLife now = life;
        if (breaking) {
            events.change(() -> now.connectionsBreak = true);
        }
        faults.breakConnections(part);
    }

    /** Stops the process for a time again and again. The terms allow one hold-up at a time, so that kinds of them take turns. */
    void suspendAgainAndAgain(long lengthMs, long gapMs, long forMs) throws IOException, InterruptedException {
        if (!holdingUp.compareAndSet(false, true)) {
            return;
        }
        for (long left = forMs; left > 0; left -= lengthMs + gapMs) {
            SchedulerProcess mine = process;
            mine.suspend();
            Thread.sleep(lengthMs);
            mine.resume();
            Thread.sleep(gapMs);
        }
        holdingUp.set(false);
    }

    /** Holds the event loop up after clock reads for a while. */
    void holdUp(long lengthMs, double gapMs, long forMs) throws InterruptedException {
        if (!holdingUp.compareAndSet(false, true)) {
            return;
        }
        faults.holdUp(lengthMs, gapMs);
        Thread.sleep(forMs);
        faults.holdUp(0, 0);
        Thread.sleep(lengthMs); // the last one is over
        holdingUp.set(false);
    }

    /** SIGHUPs in a row, with an empty file, one cut somewhere and a good one; the last one is good. */
    void reload(double cutPart) throws IOException, InterruptedException {
        if (!begin()) {
            return;
        }
        try {
            String good = configuration(events.knownWorkers());
            for (String text : List.of(good, "", good.substring(0, (int) (cutPart * good.length())), good)) {
                Files.writeString(settings, text);
                process.reload();
                Thread.sleep(50);
            }
        } finally {
            end();
        }
    }

    /** An operator's call; true where it was acknowledged. */
    boolean operator(String worker, boolean out) {
        String ready = process.log().stream()
                .filter(line -> line.contains(" control /"))
                .reduce("", (first, second) -> second);
        int port = Integer.parseInt(ready.replaceAll(".* control /[0-9.]+:([0-9]+).*", "$1"));
        try (Socket call = new Socket(InetAddress.getLoopbackAddress(), port)) {
            call.setSoTimeout(OPERATOR_TIMEOUT_MS);
            String request = "POST /control/workers/" + worker + (out ? "/offline" : "/online")
                    + " HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n";
            call.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = new byte[1024];
            int n = call.getInputStream().read(answer);
            return n > 0 && new String(answer, 0, n, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200 ");
        } catch (IOException e) {
            return false; // the process is not up, or does not answer now: nothing is acknowledged
        }
    }

    private String configuration(String known) {
        return "{\"name\":\"s" + index + "\",\"listen\":\"127.0.0.1:0\",\"ops\":\"127.0.0.1:0\",\"seed\":\"" + lives
                + index + "\",\"discovery\":\"" + discovery
                + "\",\"limits\":{\"memory_mb\":192,\"sockets\":1024},\"known\":"
                + known + ",\"settings\":" + settings() + "}";
    }

    private String settings() {
        StringBuilder classes = new StringBuilder();
        for (RequestRecord.RequestClass each : RequestRecord.RequestClass.values()) {
            String effect =
                    switch (each) {
                        case PLAN -> "free";
                        case ORDER -> "single_shot";
                        case ISSUE -> "guarded";
                    };
            classes.append(classes.isEmpty() ? "" : ",")
                    .append("{\"name\":\"" + each.path() + "\",\"sloMs\":400.0,\"deadlineMs\":" + each.deadlineMs()
                            + ",\"effect\":\"" + effect + "\",\"keyScope\":\"all\",\"windowMs\":2000.0}");
        }
        return "{\"balancers\":" + plan.schedulers() + ",\"index\":" + index + ",\"dcs\":[\"p\"],\"shapes\":[\"k\"],"
                + "\"membershipMode\":\"on_request\",\"granularityMs\":2.0,\"classes\":[" + classes
                + "],\"familyInfo\":{\"tellsStart\":true,\"reportX0\":\"free slots\"},\"report\":{\"via\":\"pull\",\"fields\":"
                + "[\"inflight\",\"queue\",\"x0\"]},\"ceilings\":{\"maxAttempts\":4,\"cancelling\":true,\"probes\":true,"
                + "\"dialTimeoutMs\":250.0,\"keepaliveMs\":5000.0},\"rules\":{\"coldFrom\":0.32,\"coldMs\":3000.0,"
                + "\"fallMs\":1000.0,\"fallMultiple\":3.0,\"graceToAnswerMs\":8.0,\"mustAskInMs\":10000.0,"
                + "\"stopSendingWithinMs\":400.0}}";
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.close();
        }
        faults.close();
    }
}
