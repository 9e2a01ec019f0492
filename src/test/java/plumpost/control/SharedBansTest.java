package plumpost.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import plumpost.Scenario;

/** Tests two processes of one scheduler, simulated by two cores in memory that share a directory. */
class SharedBansTest {

    /** During an upgrade a ban set in one process holds in the other within the polling interval, and so does its removal. */
    @Test
    void aBanSetInOneProcessHoldsInTheOther(@TempDir Path directory) {
        Scenario oldProcess = new Scenario(1);
        Scenario newProcess = new Scenario(1);
        SharedBans oldBans = new SharedBans(directory, oldProcess.core, context(oldProcess));
        SharedBans newBans = new SharedBans(directory, newProcess.core, context(newProcess));
        ControlOperations oldOperations =
                new ControlOperations(oldProcess.core, oldProcess.counters, oldBans, () -> true);
        oldBans.start();
        newBans.start();
        assertThat(oldOperations.takeOffline("node1")).isEqualTo(plumpost.dispatch.Bans.BanResult.CHANGED);
        newProcess.play("wait " + (SharedBans.POLL_INTERVAL_MS + 4));
        assertThat(newProcess.core.avoidedNodeCount()).isEqualTo(1);
        newProcess.play("""
            desk1 send POST /route-plan a 8000 x
            wait 300
            node1 expect nothing
            """);
        new ControlOperations(newProcess.core, newProcess.counters, newBans, () -> true).bringOnline("node1");
        oldProcess.play("wait " + (SharedBans.POLL_INTERVAL_MS + 4));
        assertThat(oldProcess.core.avoidedNodeCount()).isZero();
    }

    /** A new process starts with the bans in the file that the previous process left. */
    @Test
    void theNextProcessTakesOverTheBans(@TempDir Path directory) throws IOException {
        Files.writeString(directory.resolve(SharedBans.FILE_NAME), "node1\n");
        Scenario newProcess = new Scenario(2);
        new SharedBans(directory, newProcess.core, context(newProcess)).start();
        assertThat(newProcess.core.avoidedNodeCount()).isEqualTo(1);
        assertThat(newProcess.core.online("node1")).isEqualTo(plumpost.dispatch.Bans.BanResult.CHANGED);
    }

    /**
     * While writes fail, a ban holds in this process but is not acknowledged. It is saved for the next process as soon as
     * writes succeed again, and the outage is counted once.
     */
    @Test
    void aBanIsAcknowledgedOnceItIsSaved(@TempDir Path directory) throws IOException {
        Path blocked = Files.createDirectories(
                directory.resolve(SharedBans.FILE_NAME + ".new/occupied")); // makes every write fail
        Scenario scenario = new Scenario(2);
        SharedBans shared = new SharedBans(directory, scenario.core, context(scenario));
        ControlOperations operations = new ControlOperations(scenario.core, scenario.counters, shared, () -> true);
        shared.start();
        List<String> answers = new ArrayList<>();
        operations.changeBan("node1", true, (result, reason) -> answers.add(result + " " + reason));
        operations.changeBan("node1", true, (result, reason) -> answers.add(result + " " + reason));
        assertThat(answers).allMatch(answer -> answer.startsWith("null ") && answer.contains("node1"));
        assertThat(scenario.core.avoidedNodeCount())
                .as("banned in this process")
                .isEqualTo(1);
        scenario.play("wait 1000");
        assertThat(scenario.counters.get("bans.file_unwritten"))
                .as("an outage is counted once")
                .isEqualTo(1);
        Files.delete(blocked);
        Files.delete(blocked.getParent());
        scenario.play("wait 300");
        assertThat(Files.readString(directory.resolve(SharedBans.FILE_NAME))).isEqualTo("node1\n");
        operations.changeBan("node1", true, (result, reason) -> answers.add(result + " " + reason));
        assertThat(answers).last().asString().startsWith("SAME");
        assertThat(scenario.log.stream().filter(line -> line.contains("bans"))).hasSize(2);
    }

    /** A ban that is not saved yet and a change by the other process do not undo each other. */
    @Test
    void unsavedBansAreNotUndoneByTheOtherProcess(@TempDir Path directory) throws IOException {
        Scenario scenario = new Scenario(2);
        SharedBans shared = new SharedBans(directory, scenario.core, context(scenario));
        ControlOperations operations = new ControlOperations(scenario.core, scenario.counters, shared, () -> true);
        shared.start();
        Path blocked = Files.createDirectories(directory.resolve(SharedBans.FILE_NAME + ".new/occupied"));
        operations.changeBan("node1", true, (result, reason) -> {});
        Files.writeString(directory.resolve(SharedBans.FILE_NAME), "node2\n");
        scenario.play("wait 300");
        assertThat(scenario.core.avoidedNodeCount())
                .as("both workers are banned")
                .isEqualTo(2);
        Files.delete(blocked);
        Files.delete(blocked.getParent());
        scenario.play("wait 300");
        assertThat(Files.readString(directory.resolve(SharedBans.FILE_NAME))).isEqualTo("node1\nnode2\n");
    }

    /** Guards two operators' calls that reach both processes of an upgrade at once: neither process loses the other's. */
    @Test
    void callsAtBothProcessesAtOnceAreBothKept(@TempDir Path directory) throws IOException {
        Scenario oldProcess = new Scenario(2);
        Scenario newProcess = new Scenario(2);
        SharedBans oldBans = new SharedBans(directory, oldProcess.core, context(oldProcess));
        SharedBans newBans = new SharedBans(directory, newProcess.core, context(newProcess));
        oldBans.start();
        newBans.start();
        new ControlOperations(oldProcess.core, oldProcess.counters, oldBans, () -> true).takeOffline("node1");
        newProcess.core.offline("node2"); // this call has read the file before the other one wrote it
        newBans.record("node2", true);
        oldProcess.play("wait " + (SharedBans.POLL_INTERVAL_MS + 4));
        newProcess.play("wait " + (SharedBans.POLL_INTERVAL_MS + 4));
        assertThat(Files.readString(directory.resolve(SharedBans.FILE_NAME))).isEqualTo("node1\nnode2\n");
        assertThat(oldProcess.core.avoidedNodeCount()).isEqualTo(2);
        assertThat(newProcess.core.avoidedNodeCount()).isEqualTo(2);
    }

    private static plumpost.net.LoopContext context(Scenario scenario) {
        return new plumpost.net.LoopContext(
                null, () -> scenario.nowMs, scenario.wheel(), scenario.counters, scenario.log::add);
    }
}
