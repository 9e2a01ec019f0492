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
 * One scheduler of a soak across all its processes: its settings file, its folder with persistent state, the library that
 * falsifies its clock and system calls, and the signals that it receives. The methods block; restarts, kills and reloads of one
 * scheduler exclude each other.
 */
final class SchedulerSlot implements AutoCloseable {
    /** How long a killed process may take to end. */
    private static final long END_AFTER_KILL_MS = 3_700;

    /** How long a process runs with new settings before it may be told to end; classes are in use after 1.2 s. */
    private static final long SETTINGS_BEFORE_RESTART_MS = 1_500;

    /** The memory limit of each process; see {@link #configuration}. */
    private static final int MEMORY_LIMIT_MB = 192;

    /** When a second SIGTERM follows the first, where one does. */
    private static final long SECOND_SIGNAL_MS = 900;

    private static final double READY_WITHIN_MS = 10_000;
    private static final int OPERATOR_TIMEOUT_MS = 2_000;

    /** Receives what happens to the processes of a slot. */
    interface Events {
        /** Returns the list of workers for a settings file. */
        String knownWorkers() throws InterruptedException;

        /** Called when a process is ready. */
        void onReady(SchedulerRun schedulerRun) throws InterruptedException;

        /** Runs an action that changes shared state on the laboratory's loop and waits for it. */
        void runOnLoop(Runnable action) throws InterruptedException;

        /** Records that a process broke a rule. */
        void recordViolation(Oracle.Rule rule, String detail);

        /** Returns the time of the laboratory's clock in milliseconds. */
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
    private SchedulerRun currentRun;
    private int runCount;
    private SettingsFile settingsFile = SettingsFile.initial();
    private boolean changeInProgress;
    private boolean breakingConnections;
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

    SchedulerRun currentRun() {
        return currentRun;
    }

    /** Begins a change of the process; returns false if another one is in progress. */
    private synchronized boolean tryBeginChange() {
        boolean begun = !changeInProgress;
        changeInProgress = true;
        return begun;
    }

    private synchronized void endChange() {
        changeInProgress = false;
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
            events.recordViolation(
                    Oracle.Rule.CRASH, "scheduler " + index + " was ready only after " + Math.round(tookMs) + " ms");
        }
        SchedulerRun started = new SchedulerRun(
                index, runCount++, process.front(), process.gearmanFront(), events.nowMs(), settingsFile);
        started.connectionsMayBreak = breakingConnections;
        currentRun = started;
        events.onReady(started);
        SchedulerProcess startedProcess = process;
        startedProcess.handle().onExit().thenRun(() -> onProcessExit(started, startedProcess));
    }

    private void onProcessExit(SchedulerRun ended, SchedulerProcess endedProcess) {
        if (!ended.wasTerminated() && !ended.hasEnded()) {
            events.recordViolation(Oracle.Rule.CRASH, ended + " ended by itself: " + lastLines(endedProcess.log()));
        }
        endedProcess.log().stream()
                .filter(line -> line.contains(": guard ") || line.contains("fault "))
                .forEach(line -> events.recordViolation(Oracle.Rule.GUARD, ended + ": " + line));
    }

    private static List<String> lastLines(List<String> log) {
        return log.subList(Math.max(0, log.size() - 5), log.size());
    }

    /** Checks the peak memory of the current process against its limit. */
    void checkMemory() throws InterruptedException {
        try {
            long peakMb = process.resourceUsage().peakKb() / 1024;
            SchedulerRun run = currentRun;
            events.runOnLoop(() -> {
                if (peakMb > MEMORY_LIMIT_MB) {
                    events.recordViolation(Oracle.Rule.MEMORY, run + " used " + peakMb + " MB of " + MEMORY_LIMIT_MB);
                }
            });
        } catch (IOException e) {
            return; // the process has ended
        }
    }

    /** Sends SIGTERM, then SIGKILL as early as is allowed, and starts a new process after a pause. */
    void restart(long pauseMs) throws IOException, InterruptedException {
        if (!tryBeginChange()) {
            return;
        }
        try {
            SchedulerRun ending = currentRun;
            double now = events.nowMs();
            events.runOnLoop(() -> ending.terminatedAt = now);
            process.terminate();
            long killAfterMs = settingsFile.killAfterMs();
            boolean secondSignal = runCount % 2 == 0;
            int code = process.awaitEnd(secondSignal ? SECOND_SIGNAL_MS : killAfterMs);
            if (secondSignal && code < 0) {
                process.terminate();
                code = process.awaitEnd(killAfterMs - SECOND_SIGNAL_MS);
            }
            int exitCode = code;
            if (code > 0) {
                events.recordViolation(Oracle.Rule.CRASH, ending + " ended with " + code);
            }
            process.kill();
            process.awaitEnd(END_AFTER_KILL_MS);
            double endedAt = events.nowMs();
            events.runOnLoop(() -> {
                ending.endedAt = endedAt;
                ending.endedCleanly = exitCode == 0;
            });
            Thread.sleep(pauseMs);
            start();
        } finally {
            endChange();
        }
    }

    /** Sends SIGKILL without SIGTERM and starts a new process after a pause. */
    void kill(long pauseMs) throws IOException, InterruptedException {
        if (!tryBeginChange()) {
            return;
        }
        try {
            SchedulerRun ending = currentRun;
            double now = events.nowMs();
            events.runOnLoop(() -> ending.endedAt = now);
            process.kill();
            process.awaitEnd(END_AFTER_KILL_MS);
            Thread.sleep(pauseMs);
            start();
        } finally {
            endChange();
        }
    }

    /** Makes a fraction of all reads and writes fail with a broken connection from now on, also in later processes. */
    void breakConnections(double fraction) throws InterruptedException {
        breakingConnections = fraction > 0;
        SchedulerRun affected = currentRun;
        if (breakingConnections) {
            events.runOnLoop(() -> affected.connectionsMayBreak = true);
        }
        faults.breakConnections(fraction);
    }

    /**
     * Stops the process repeatedly for {@code forMs}. The terms allow one hold-up at a time, so this does nothing while another
     * one, of either kind, is in progress.
     */
    void suspendRepeatedly(long lengthMs, long gapMs, long forMs) throws IOException, InterruptedException {
        if (!holdingUp.compareAndSet(false, true)) {
            return;
        }
        for (long left = forMs; left > 0; left -= lengthMs + gapMs) {
            SchedulerProcess suspended = process;
            suspended.suspend();
            Thread.sleep(lengthMs);
            suspended.resume();
            Thread.sleep(gapMs);
        }
        holdingUp.set(false);
    }

    /** Blocks the event loop after clock reads for {@code forMs}; does nothing while another hold-up is in progress. */
    void holdUp(long lengthMs, double gapMs, long forMs) throws InterruptedException {
        if (!holdingUp.compareAndSet(false, true)) {
            return;
        }
        faults.holdUp(lengthMs, gapMs);
        Thread.sleep(forMs);
        faults.holdUp(0, 0);
        Thread.sleep(lengthMs); // lets the last hold-up finish
        holdingUp.set(false);
    }

    /** Sends SIGHUPs with a valid, an empty, a truncated and again a valid settings file. */
    void reload(double cutFraction) throws IOException, InterruptedException {
        if (!tryBeginChange()) {
            return;
        }
        try {
            String good = configuration(events.knownWorkers());
            for (String text : List.of(good, "", good.substring(0, (int) (cutFraction * good.length())), good)) {
                Files.writeString(settings, text);
                process.reload();
                Thread.sleep(50);
            }
        } finally {
            endChange();
        }
    }

    /** Announces a settings file with other classes by SIGHUP, after clients have stopped using those that it leaves out. */
    void changeSettings(SettingsFile file) throws IOException, InterruptedException {
        if (!tryBeginChange()) {
            return;
        }
        try {
            settingsFile = file;
            SchedulerRun run = currentRun;
            String text = configuration(events.knownWorkers());
            events.runOnLoop(() -> run.classes.replace(file, events.nowMs()));
            Files.writeString(settings, text);
            process.reload();
        } finally {
            endChange();
        }
    }

    /** Announces a settings file, and restarts the process soon after. */
    void changeSettingsAndRestart(SettingsFile file, long pauseMs) throws IOException, InterruptedException {
        changeSettings(file);
        Thread.sleep(SETTINGS_BEFORE_RESTART_MS);
        restart(pauseMs);
    }

    /** Takes a worker offline or online as an operator does; returns whether the call was acknowledged. */
    boolean callOperator(String worker, boolean offline) {
        String ready = process.log().stream()
                .filter(line -> line.contains(" control /"))
                .reduce("", (first, second) -> second);
        int port = Integer.parseInt(ready.replaceAll(".* control /[0-9.]+:([0-9]+).*", "$1"));
        try (Socket call = new Socket(InetAddress.getLoopbackAddress(), port)) {
            call.setSoTimeout(OPERATOR_TIMEOUT_MS);
            String request = "POST /control/workers/" + worker + (offline ? "/offline" : "/online")
                    + " HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n";
            call.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = new byte[1024];
            int length = call.getInputStream().read(answer);
            return length > 0 && new String(answer, 0, length, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200 ");
        } catch (IOException e) {
            return false; // the process is down or does not answer: not acknowledged
        }
    }

    private String configuration(String knownWorkers) {
        return "{\"name\":\"s" + index + "\",\"listen\":\"127.0.0.1:0\",\"ops\":\"127.0.0.1:0\",\"seed\":\"" + runCount
                + index + "\",\"discovery\":\"" + discovery
                + "\",\"limits\":{\"memory_mb\":" + MEMORY_LIMIT_MB + ",\"sockets\":1024},\"known\":"
                + knownWorkers + ",\"gearman\":{\"listen\":\"127.0.0.1:0\",\"functions\":[{\"match\":\""
                + GearmanPeers.FUNCTION_PREFIX + "*\",\"class\":\"" + RequestClass.ORDER.path() + "\"}]},\"settings\":"
                + settings() + "}";
    }

    private String settings() {
        return "{\"balancers\":" + plan.schedulers() + ",\"index\":" + index + ",\"dcs\":[\"p\"],\"shapes\":[\"k\"],"
                + "\"membershipMode\":\"on_request\",\"granularityMs\":2.0,\"classes\":"
                + settingsFile.classesJson()
                + ",\"familyInfo\":{\"tellsStart\":true,\"reportX0\":\"free slots\"},\"report\":{\"via\":\"pull\",\"fields\":"
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
