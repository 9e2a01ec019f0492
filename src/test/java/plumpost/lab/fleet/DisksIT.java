package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.lab.fleet.FleetLab.SchedulerProcess;

/** Slow disks, a log with a torn last record, and a log that is corrupt in the middle. */
@Timeout(300)
class DisksIT extends FleetTestBase {

    /** Guards against one disk with two-second syncs: its scheduler loses duty and new work, the rest goes on. */
    @Test
    void oneSlowDiskCostsTheOthersNothing() throws Exception {
        startFleet(3, 0, 3, "");
        startWorkers(1, "order-it");
        SchedulerProcess owner = moveScheduleOffLeader();
        owner.setSyncDelay(2000);
        List<String> keys = submitScheduled(12, "order-it", "one", 1000);
        assertThat(keys).as("a majority has quick disks").hasSize(12);
        assertEachRanOnce(keys);
        awaitUntil("its duty is another's", () -> !List.of("", owner.name()).contains(owner("schedule")));
        awaitUntil(
                "nothing new goes to it",
                () -> FleetLab.memberState(showFleet(), owner.name()).equals("suspect"));
        double suspectAtMs = lab.history().nowMs();
        List<String> more = submitScheduledAt(12, "order-it", "more", 1);
        assertEachRanOnce(more);
        assertThat(lab.history().events())
                .noneMatch(event -> event.atMs() > suspectAtMs
                        && event.source().equals(owner.name())
                        && event.kind().equals("run")
                        && more.contains(event.text()));
        owner.setSyncDelay(0);
        awaitUntil(
                "it is as the others again",
                () -> FleetLab.memberState(showFleet(), owner.name()).equals("alive"));
    }

    /** Guards against slow disks at all members: no acknowledged job is lost, and the fleet recovers by itself. */
    @Test
    void slowDisksEverywhereDelayAndBreakNoRule() throws Exception {
        startFleet(3, 0, 3, "");
        startWorkers(1, "order-it");
        List<String> keys = submitScheduled(12, "order-it", "b", 1500);
        for (SchedulerProcess process : lab.processes()) {
            process.setSyncDelay(2000);
        }
        keys.addAll(submitScheduled(
                12,
                "order-it",
                "s",
                1000)); // mostly answered that the outcome is unknown: such a job may still run once
        for (SchedulerProcess process : lab.processes()) {
            process.setSyncDelay(0);
        }
        awaitUntil("jobs are taken as before", () -> {
            keys.addAll(submitScheduled(3, "order-it", "a" + keys.size() + "-", 0));
            return lab.history().ofKind("taken").stream()
                    .anyMatch(event -> event.text().startsWith("a"));
        });
        assertEachRanOnceOrWasGivenUp(keys);
        for (int i = 0; i < 12; i++) {
            assertThat(runCount("s" + i)).isLessThanOrEqualTo(1);
        }
    }

    /** Guards against a crash during a write: this disk never confirmed the torn record, so it is fetched again. */
    @Test
    void aTornLastRecordIsFetchedAgainAndASpoiltOneIsNamed() throws Exception {
        startFleet(3, 0, 3, "");
        startWorkers(1, "order-it");
        List<String> keys = submitScheduled(12, "order-it", "o", 3000);
        SchedulerProcess torn = lab.processes().stream()
                .filter(process -> !process.name().equals(showFleet().text("leader")))
                .findFirst()
                .orElseThrow();
        torn.signal("KILL");
        assertThat(torn.awaitExit(TIMEOUT_MS)).isTrue();
        Path log = latestLogFile(torn);
        try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "rw")) {
            file.setLength(endOfContent(file) - 3);
        }
        double restartedAtMs = lab.history().nowMs();
        torn.start();
        awaitJoined(torn, restartedAtMs);
        assertEachRanOnce(keys);
        double killedAtMs = lab.history().nowMs();
        torn.signal("KILL");
        assertThat(torn.awaitExit(TIMEOUT_MS)).isTrue();
        try (RandomAccessFile file = new RandomAccessFile(latestLogFile(torn).toFile(), "rw")) {
            long offset = endOfContent(file) / 2;
            file.seek(offset);
            int value = file.read();
            file.seek(offset);
            file.write(value ^ 0x55);
        }
        torn.start();
        awaitLogLine(torn, killedAtMs, "takes part no longer and serves on by itself");
        awaitUntil(
                "the others go on",
                () -> LabWorkers.submitScheduled(
                                lab.processes().stream()
                                        .filter(process -> process != torn)
                                        .findFirst()
                                        .orElseThrow(),
                                lab.history(),
                                "order-it",
                                "after",
                                1)
                        != null);
        assertEachRanOnce(List.of("after"));
        torn.signal("KILL");
        assertThat(torn.awaitExit(TIMEOUT_MS)).isTrue();
        torn.deleteData();
        restartedAtMs = lab.history().nowMs();
        torn.start();
        awaitJoined(torn, restartedAtMs);
    }

    private static Path latestLogFile(SchedulerProcess process) throws IOException {
        try (Stream<Path> files = Files.walk(process.dataDirectory().resolve("log"))) {
            return files.filter(p -> p.getFileName().toString().startsWith("log_"))
                    .max(Comparator.comparingLong(p -> Long.parseLong(p.getFileName()
                            .toString()
                            .replaceAll("\\D+", " ")
                            .strip()
                            .split(" ")[0])))
                    .orElseThrow();
        }
    }

    /** Returns the end of the written records; the zeros behind them are space preallocated by the engine. */
    private static long endOfContent(RandomAccessFile file) throws IOException {
        long offset = file.length();
        do {
            file.seek(--offset);
        } while (offset > 0 && file.read() == 0);
        return offset + 1;
    }
}
