package plumpost.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
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

    private static plumpost.net.LoopContext kit(Scenario s) {
        return new plumpost.net.LoopContext(null, () -> s.now, s.wheel(), s.counters, s.log::add);
    }
}
