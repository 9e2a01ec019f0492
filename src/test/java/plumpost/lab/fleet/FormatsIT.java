package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.lab.fleet.FleetLab.SchedulerProcess;

/** Rolling upgrade: programs that read different record formats in one fleet. */
@Timeout(240)
class FormatsIT extends FleetTestBase {

    /** Restarts a process as a program with another newest format; jobs submitted after that each run once. */
    private void restart(SchedulerProcess process, int newestFormat, String keyPrefix) throws Exception {
        double restartedAtMs = lab.history().nowMs();
        process.signal("TERM");
        assertThat(process.awaitExit(TIMEOUT_MS)).isTrue();
        process.setRecordFormat(newestFormat);
        process.start();
        awaitJoined(process, restartedAtMs);
        assertEachRanOnce(submitScheduled(6, "order-it", keyPrefix, 0));
    }

    private void startFleetOfOlderFormat() throws Exception {
        createFleet(3, 0, 3, "");
        for (SchedulerProcess process : lab.processes()) {
            process.setRecordFormat(1);
            process.start();
        }
        for (SchedulerProcess process : lab.processes()) {
            awaitJoined(process, 0);
        }
    }

    /**
     * Guards a key that was scheduled before the fleet wrote start times into its ledger: submitted again after that, at once or for
     * a time, it is the same job and runs once.
     */
    @Test
    void aKeyScheduledBeforeTheNewerFormatStaysOneJob() throws Exception {
        extraPeerSettings = "\"covers\": [\"pickup-order\"], ";
        startFleetOfOlderFormat();
        long startAtS = System.currentTimeMillis() / 1000 + 30;
        SchedulerProcess last = lab.processes().get(2);
        String handle = LabWorkers.submitScheduled(last, lab.history(), "order-it", "old", startAtS);
        for (SchedulerProcess process : lab.processes()) {
            double restartedAtMs = lab.history().nowMs();
            process.signal("TERM");
            assertThat(process.awaitExit(TIMEOUT_MS)).isTrue();
            process.setRecordFormat(2);
            process.start();
            awaitJoined(process, restartedAtMs);
        }
        awaitUntil("the newer one is written", () -> writtenFormat() == 2);
        assertThat(LabWorkers.submitBackground(last, lab.history(), "order-it", "old"))
                .isEqualTo(handle);
        assertThat(LabWorkers.submitScheduled(lab.processes().get(0), lab.history(), "order-it", "old", startAtS + 60))
                .isEqualTo(handle);
        startWorkers(1, "order-it");
        assertEachRanOnce(List.of("old"));
        assertThat(LabWorkers.submitBackground(last, lab.history(), "order-it", "old"))
                .as("its key is kept after its end")
                .isEqualTo(handle);
        assertThat(LabWorkers.submitScheduled(last, lab.history(), "order-it", "new", startAtS))
                .isNotNull();
        assertEachRanOnce(List.of("old", "new"));
    }

    /** Guards a rolling upgrade: a newer format is written only once all read it; an older program then logs that and leaves. */
    @Test
    void aNewerFormatIsWrittenOnceAllReadIt() throws Exception {
        startFleetOfOlderFormat();
        startWorkers(1, "order-it");
        SchedulerProcess first = lab.processes().get(0);
        SchedulerProcess third = lab.processes().get(2);
        restart(first, 2, "a");
        restart(lab.processes().get(1), 2, "b");
        assertThat(writtenFormat()).as("one does not read it").isEqualTo(1);
        restart(first, 1, "back"); // a downgrade still works: all records written so far are of the older format
        restart(first, 2, "again");
        restart(third, 2, "c");
        awaitUntil("the newer one is written", () -> writtenFormat() == 2);
        assertEachRanOnce(submitScheduled(6, "order-it", "d", 0));
        double restartedAtMs = lab.history().nowMs();
        third.signal("TERM");
        assertThat(third.awaitExit(TIMEOUT_MS)).isTrue();
        third.setRecordFormat(1);
        third.start();
        awaitLogLine(third, restartedAtMs, "takes part no longer and serves on by itself");
        awaitLogLine(third, restartedAtMs, "reads 1 to 1");
        awaitUntil(
                "the others go on",
                () -> LabWorkers.submitScheduled(first, lab.history(), "order-it", "on", 1) != null);
        assertEachRanOnce(List.of("on"));
        third.signal("KILL");
        assertThat(third.awaitExit(TIMEOUT_MS)).isTrue();
        third.setRecordFormat(2);
        restartedAtMs = lab.history().nowMs();
        third.start();
        awaitJoined(third, restartedAtMs);
        assertEachRanOnce(submitScheduled(6, "order-it", "e", 0));
    }
}
