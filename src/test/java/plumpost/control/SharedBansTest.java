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

/** Two processes of one scheduler, as two cores in memory that share a directory. */
class SharedBansTest {

    /** Guards the overlap of an upgrade: a ban told to one holds in the other within the grace, and so does its end. */
    @Test
    void aBanToldToOneHoldsInTheOther(@TempDir Path dir) {
        Scenario old = new Scenario(1);
        Scenario fresh = new Scenario(1);
        SharedBans oldFile = new SharedBans(dir, old.room, kit(old));
        SharedBans freshFile = new SharedBans(dir, fresh.room, kit(fresh));
        ControlOperations oldDesk = new ControlOperations(old.room, old.counters, oldFile, () -> true);
        oldFile.begin();
        freshFile.begin();
        assertThat(oldDesk.offline("node1")).isEqualTo(plumpost.dispatch.Bans.Said.CHANGED);
        fresh.play("wait " + (SharedBans.LOOK_MS + 4));
        assertThat(fresh.room.avoided()).isEqualTo(1);
        fresh.play("""
            desk1 send POST /route-plan a 8000 x
            wait 300
            node1 expect nothing
            """);
        new ControlOperations(fresh.room, fresh.counters, freshFile, () -> true).online("node1");
        old.play("wait " + (SharedBans.LOOK_MS + 4));
        assertThat(old.room.avoided()).isZero();
    }

    /** Guards the next process: it starts with the bans that the last one left, and a torn file is passed over. */
    @Test
    void theNextProcessStartsWithTheBans(@TempDir Path dir) throws IOException {
        Files.writeString(dir.resolve(SharedBans.NAME), "node1\n");
        Scenario fresh = new Scenario(2);
        new SharedBans(dir, fresh.room, kit(fresh)).begin();
        assertThat(fresh.room.avoided()).isEqualTo(1);
        assertThat(fresh.room.online("node1")).isEqualTo(plumpost.dispatch.Bans.Said.CHANGED);
    }

    /**
     * Guards a ban against a disk that fails for a while: it holds here, is not acknowledged before it is kept for the next
     * process, is kept as soon as the disk works again, and the outage is told once.
     */
    @Test
    void aBanIsAcknowledgedOnceItIsKept(@TempDir Path dir) throws IOException {
        Path blocked = Files.createDirectories(dir.resolve(SharedBans.NAME + ".new/occupied")); // every write fails
        Scenario s = new Scenario(2);
        SharedBans shared = new SharedBans(dir, s.room, kit(s));
        ControlOperations operations = new ControlOperations(s.room, s.counters, shared, () -> true);
        shared.begin();
        List<String> answers = new ArrayList<>();
        operations.change("node1", true, (said, why) -> answers.add(said + " " + why));
        operations.change("node1", true, (said, why) -> answers.add(said + " " + why));
        assertThat(answers).allMatch(answer -> answer.startsWith("null ") && answer.contains("node1"));
        assertThat(s.room.avoided()).as("it holds here").isEqualTo(1);
        s.play("wait 1000");
        assertThat(s.counters.of("bans.file_unwritten"))
                .as("an outage is counted once")
                .isEqualTo(1);
        Files.delete(blocked);
        Files.delete(blocked.getParent());
        s.play("wait 300");
        assertThat(Files.readString(dir.resolve(SharedBans.NAME))).isEqualTo("node1\n");
        operations.change("node1", true, (said, why) -> answers.add(said + " " + why));
        assertThat(answers).last().asString().startsWith("SAME");
        assertThat(s.log.stream().filter(line -> line.contains("bans"))).hasSize(2);
    }

    /** Guards a ban that is not kept yet against the other process's file: neither undoes the other. */
    @Test
    void whatIsNotKeptYetIsNotUndoneByTheOtherProcess(@TempDir Path dir) throws IOException {
        Scenario s = new Scenario(2);
        SharedBans shared = new SharedBans(dir, s.room, kit(s));
        ControlOperations operations = new ControlOperations(s.room, s.counters, shared, () -> true);
        shared.begin();
        Path blocked = Files.createDirectories(dir.resolve(SharedBans.NAME + ".new/occupied"));
        operations.change("node1", true, (said, why) -> {});
        Files.writeString(dir.resolve(SharedBans.NAME), "node2\n");
        s.play("wait 300");
        assertThat(s.room.avoided()).as("both hold").isEqualTo(2);
        Files.delete(blocked);
        Files.delete(blocked.getParent());
        s.play("wait 300");
        assertThat(Files.readString(dir.resolve(SharedBans.NAME))).isEqualTo("node1\nnode2\n");
    }

    private static plumpost.net.LoopContext kit(Scenario s) {
        return new plumpost.net.LoopContext(null, () -> s.now, s.wheel(), s.counters, s.log::add);
    }
}
