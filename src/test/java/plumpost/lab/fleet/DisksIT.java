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
import plumpost.lab.fleet.FleetLab.One;

/** Disks that are slow, and logs whose end was torn or whose middle was spoilt. */
@Timeout(300)
class DisksIT extends FleetRig {

    /** Guards against one disk of two seconds a sync: its scheduler is passed over, and all goes on. */
    @Test
    void oneSlowDiskCostsTheOthersNothing() throws Exception {
        fleet(3, 0, 3, "");
        work(1, "order-it");
        One owner = ownerBesideTheLeader();
        owner.slowDisk(2000);
        List<String> keys = plan(12, "order-it", "one", 1000);
        assertThat(keys).as("a majority has quick disks").hasSize(12);
        eachOnce(keys);
        until("its duty is another's", () -> !List.of("", owner.name()).contains(owner("schedule")));
        until(
                "nothing new goes to it",
                () -> FleetLab.state(page(), owner.name()).equals("suspect"));
        double at = lab.history().nowMs();
        List<String> more = planAt(12, "order-it", "more", 1);
        eachOnce(more);
        assertThat(lab.history().all())
                .noneMatch(s -> s.atMs() > at
                        && s.who().equals(owner.name())
                        && s.what().equals("run")
                        && more.contains(s.words()));
        owner.slowDisk(0);
        until(
                "it is as the others again",
                () -> FleetLab.state(page(), owner.name()).equals("alive"));
    }

    /** Guards against a majority of such disks: nothing that was acknowledged is lost, and it comes back by itself. */
    @Test
    void slowDisksEverywhereDelayAndBreakNoRule() throws Exception {
        fleet(3, 0, 3, "");
        work(1, "order-it");
        List<String> keys = plan(12, "order-it", "b", 1500);
        for (One o : lab.all()) {
            o.slowDisk(2000);
        }
        keys.addAll(plan(12, "order-it", "s", 1000)); // mostly answered that it is not known: such a job may run once
        for (One o : lab.all()) {
            o.slowDisk(0);
        }
        until("jobs are taken as before", () -> {
            keys.addAll(plan(3, "order-it", "a" + keys.size() + "-", 0));
            return lab.history().of("taken").stream().anyMatch(s -> s.words().startsWith("a"));
        });
        onceOrGivenUp(keys);
        for (int i = 0; i < 12; i++) {
            assertThat(runs("s" + i)).isLessThanOrEqualTo(1);
        }
    }

    /** Guards against a crash in the middle of a write: the torn record was never agreed on by this disk. */
    @Test
    void aTornLastRecordIsFetchedAgainAndASpoiltOneIsNamed() throws Exception {
        fleet(3, 0, 3, "");
        work(1, "order-it");
        List<String> keys = plan(12, "order-it", "o", 3000);
        One torn = lab.all().stream()
                .filter(o -> !o.name().equals(page().text("leader")))
                .findFirst()
                .orElseThrow();
        torn.signal("KILL");
        assertThat(torn.ended(PATIENCE_MS)).isTrue();
        Path log = lastLog(torn);
        try (RandomAccessFile f = new RandomAccessFile(log.toFile(), "rw")) {
            f.setLength(end(f) - 3);
        }
        double again = lab.history().nowMs();
        torn.start();
        joined(torn, again);
        eachOnce(keys);
        double killed = lab.history().nowMs();
        torn.signal("KILL");
        assertThat(torn.ended(PATIENCE_MS)).isTrue();
        try (RandomAccessFile f = new RandomAccessFile(lastLog(torn).toFile(), "rw")) {
            long at = end(f) / 2;
            f.seek(at);
            int b = f.read();
            f.seek(at);
            f.write(b ^ 0x55);
        }
        torn.start();
        said(torn, killed, "takes part no longer and serves on by itself");
        until(
                "the others go on",
                () -> Hands.plan(
                                lab.all().stream()
                                        .filter(o -> o != torn)
                                        .findFirst()
                                        .orElseThrow(),
                                lab.history(),
                                "order-it",
                                "after",
                                1)
                        != null);
        eachOnce(List.of("after"));
        torn.signal("KILL");
        assertThat(torn.ended(PATIENCE_MS)).isTrue();
        torn.wipe();
        again = lab.history().nowMs();
        torn.start();
        joined(torn, again);
    }

    private static Path lastLog(One o) throws IOException {
        try (Stream<Path> files = Files.walk(o.data().resolve("log"))) {
            return files.filter(p -> p.getFileName().toString().startsWith("log_"))
                    .max(Comparator.comparingLong(p -> Long.parseLong(p.getFileName()
                            .toString()
                            .replaceAll("\\D+", " ")
                            .strip()
                            .split(" ")[0])))
                    .orElseThrow();
        }
    }

    /** Where what was written ends: behind it lie the zeros that the engine set aside. */
    private static long end(RandomAccessFile f) throws IOException {
        long at = f.length();
        do {
            f.seek(--at);
        } while (at > 0 && f.read() == 0);
        return at + 1;
    }
}
