package plumpost.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import plumpost.Scenario;
import plumpost.lab.SchedulerProcess;
import plumpost.lab.faults.FaultLibrary;

/**
 * Tests a shutdown with real processes: the scheduler gets SIGTERM while its workers accept requests and never complete them,
 * clients keep sending on open connections, and SIGKILL follows 3.7 s later. Requests that were forwarded were once left
 * without an answer; they must get their final answer before SIGKILL, whatever disturbs the process in the meantime.
 */
class ShutdownFaultsIT {
    /** Minimum time from SIGTERM to SIGKILL: the longest deadline, limited to 3 s, plus 0.7 s. */
    private static final long KILL_AFTER_MS = 3_700;

    private static final int CLIENTS = 120;
    /** More than the forwarded requests, so that there is a free worker for each. */
    private static final int WORKERS = 60;

    private static final long FIRST_REQUEST_MS = 200;
    private static final long LAST_REQUEST_MS = 3_600;
    /** Every third request is sent in two pieces with this delay between them. */
    private static final long PIECE_GAP_MS = 100;

    private static final long HOUR_MS = 3_600_000;
    /** The longest pause between reading the clock and writing that the process must tolerate. */
    private static final long MAX_HOLD_UP_MS = 150;

    @TempDir
    private Path folder;

    /** What disturbs the scheduler during its shutdown. */
    enum Disturbance {
        NONE,
        SIGNALLED_AGAIN,
        SUSPENDED_AT_THE_SIGNAL,
        SUSPENDED_AT_THE_LAST_CALL,
        SUSPENDED_AGAIN_AND_AGAIN,
        HELD_UP_AFTER_CLOCK_READS,
        WALL_CLOCK_STEPS_BACK,
        WALL_CLOCK_STEPS_FORWARD,
        WALL_CLOCK_STEPS_TWICE
    }

    @ParameterizedTest
    @EnumSource
    @Timeout(120)
    void whatWasForwardedIsAnsweredBeforeTheKill(Disturbance disturbance) throws Exception {
        try (RecordingWorkers workers = new RecordingWorkers(WORKERS, RecordingWorkers::started);
                FaultLibrary faults = new FaultLibrary(null);
                SchedulerProcess scheduler = new SchedulerProcess(configuration(workers), faults.environment())) {
            scheduler.awaitReady();
            List<IdleClient> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new IdleClient(scheduler.front(), "request-" + i, i % 3 == 0));
            }
            if (disturbance == Disturbance.SUSPENDED_AT_THE_SIGNAL) {
                scheduler.suspend();
            }
            Timeline timeline = new Timeline();
            scheduler.terminate();
            disturb(timeline, disturbance, scheduler, faults);
            for (int i = 0; i < CLIENTS; i++) {
                IdleClient client = clients.get(i);
                long sendAtMs = FIRST_REQUEST_MS + (LAST_REQUEST_MS - FIRST_REQUEST_MS) * i / (CLIENTS - 1);
                if (client.sendsInPieces()) {
                    timeline.schedule(sendAtMs, client::sendFirstPiece);
                    timeline.schedule(Math.min(sendAtMs + PIECE_GAP_MS, LAST_REQUEST_MS), client::sendLastPiece);
                } else {
                    timeline.schedule(sendAtMs, client::sendComplete);
                }
            }
            timeline.schedule(KILL_AFTER_MS, scheduler::kill);
            timeline.run();
            scheduler.awaitEnd(TimeUnit.SECONDS.toMillis(10));
            List<String> lost = new ArrayList<>();
            for (IdleClient client : clients) {
                client.awaitEnd();
                boolean taken = workers.hasTaken(client.id()) || client.endedByReset();
                if (client.sentAtNs() > 0 && taken && !client.answered()) {
                    lost.add(client.id() + " sent whole " + timeline.sinceStartMs(client.sentAtNs())
                            + " ms after SIGTERM");
                }
            }
            assertThat(lost)
                    .as("forwarded or read, and never answered; log %s", scheduler.log())
                    .isEmpty();
            assertThat(workers.attempts()).as("requests that were sent on").isNotEmpty();
        }
    }

    private static void disturb(
            Timeline timeline, Disturbance disturbance, SchedulerProcess scheduler, FaultLibrary faults) {
        switch (disturbance) {
            case NONE -> {}
            case SIGNALLED_AGAIN -> {
                timeline.schedule(50, scheduler::terminate);
                timeline.schedule(1_500, scheduler::terminate);
                timeline.schedule(2_500, scheduler::terminate);
            }
            case SUSPENDED_AT_THE_SIGNAL -> timeline.schedule(MAX_HOLD_UP_MS, scheduler::resume);
            case SUSPENDED_AT_THE_LAST_CALL -> suspendAt(timeline, scheduler, 3_000, 3_600, 100);
            case SUSPENDED_AGAIN_AND_AGAIN -> suspendAt(timeline, scheduler, 20, 3_600, 250);
            case HELD_UP_AFTER_CLOCK_READS -> timeline.schedule(0, () -> faults.holdUp(MAX_HOLD_UP_MS, 100));
            case WALL_CLOCK_STEPS_BACK -> timeline.schedule(0, () -> faults.stepWallClock(-HOUR_MS));
            case WALL_CLOCK_STEPS_FORWARD -> timeline.schedule(0, () -> faults.stepWallClock(HOUR_MS));
            case WALL_CLOCK_STEPS_TWICE -> {
                timeline.schedule(0, () -> faults.stepWallClock(HOUR_MS));
                timeline.schedule(600, () -> faults.stepWallClock(-HOUR_MS));
            }
            default -> throw new IllegalArgumentException(disturbance.name());
        }
    }

    private static void suspendAt(Timeline timeline, SchedulerProcess scheduler, long fromMs, long toMs, long gapMs) {
        for (long atMs = fromMs; atMs + MAX_HOLD_UP_MS < toMs; atMs += MAX_HOLD_UP_MS + gapMs) {
            timeline.schedule(atMs, scheduler::suspend);
            timeline.schedule(atMs + MAX_HOLD_UP_MS, scheduler::resume);
        }
    }

    private Path configuration(RecordingWorkers workers) throws IOException {
        return Files.writeString(
                folder.resolve("scheduler.json"),
                "{\"name\":\"s0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\",\"limits\":{\"sockets\":1024},\"known\":{\"seq\":1,"
                        + "\"whole\":true,\"hosts\":[" + workers.lines() + "]},\"settings\":"
                        + Scenario.SETTINGS + "}");
    }
}
