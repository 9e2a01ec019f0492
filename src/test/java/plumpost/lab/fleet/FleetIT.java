package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.api.Timeout;
import plumpost.config.Json.Fields;
import plumpost.lab.fleet.FleetLab.One;

/** Real processes of the built program with faults between them. Rules are judged; times are waited for with wide bounds. */
@Timeout(180)
class FleetIT {
    private static final long PATIENCE_MS = 60_000;

    private FleetLab lab;
    private Path folder;
    private final List<Hands> hands = new ArrayList<>();

    @BeforeEach
    void folder(TestInfo test) throws IOException {
        folder = Path.of("target", "fleet-it", test.getTestMethod().orElseThrow().getName()).toAbsolutePath();
        if (Files.exists(folder)) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
    }

    @AfterEach
    void end() throws IOException {
        hands.forEach(Hands::close);
        if (lab != null) {
            StringBuilder seen = new StringBuilder();
            lab.history().all().forEach(s -> seen.append(String.format("%9.0f %s %s %s%n", s.atMs(), s.who(), s.what(), s.words())));
            lab.close();
            Files.writeString(folder.resolve("history.txt"), seen);
        }
    }

    private void fleet(int voters, int followers, String more) throws Exception {
        lab = new FleetLab(new FleetLab.Plan(Path.of("target/plumpost.jar").toAbsolutePath(),
            Path.of("deploy/gearman.json").toAbsolutePath(), folder, voters, followers, 3, "\"snapshotEvery\": 20, ", more));
        for (One o : lab.all()) {
            o.start();
        }
        until("all are alive", () -> lab.all().stream().allMatch(o -> FleetLab.state(page(), o.name()).equals("alive")));
    }

    /** Waits until a scheduler says that a new life of it has begun. */
    private void joined(One o, double since) throws Exception {
        assertThat(lab.history().await(since, PATIENCE_MS, s -> s.who().equals(o.name()) && s.what().equals("log")
            && s.words().contains("joined as incarnation"))).as(o.name() + " has joined").isNotNull();
    }

    private Fields page() {
        for (One o : lab.all()) {
            Fields f = o.runs() ? lab.show(o) : null;
            if (f != null) {
                return f;
            }
        }
        return null;
    }

    private String owner(String duty) {
        return FleetLab.owner(page(), duty);
    }

    private long fence() {
        return FleetLab.duty(page(), "schedule", "fence") instanceof Number n ? n.longValue() : 0;
    }

    private static void until(String what, Callable<Boolean> holds) throws Exception {
        for (long end = System.nanoTime() + PATIENCE_MS * 1_000_000; !holds.call(); Thread.sleep(100)) {
            assertThat(System.nanoTime()).as("waited long enough until " + what).isLessThan(end);
        }
    }

    private void work(int ms, String... functions) {
        lab.all().forEach(o -> hands.add(new Hands(o, lab.history(), 2, ms, functions)));
    }

    private List<String> plan(int n, String function, String mark, double inMs) {
        long at = (System.currentTimeMillis() + (long) inMs) / 1000;
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            One o = lab.all().get(i % lab.all().size());
            if (o.runs() && Hands.plan(o, lab.history(), function, mark + i, at) != null) {
                keys.add(mark + i);
            }
        }
        return keys;
    }

    private long runs(String key) {
        return lab.history().of("run").stream().filter(s -> s.words().equals(key)).count();
    }

    private void eachOnce(List<String> keys) throws Exception {
        until("all ran", () -> keys.stream().allMatch(k -> runs(k) > 0));
        assertThat(keys).allSatisfy(k -> assertThat(runs(k)).as(k).isEqualTo(1));
    }

    /** Guards the schedule of the fleet: whoever took a job and whoever dies, what was acknowledged runs, and once. */
    @Test
    void scheduledJobsRunOnceThoughTheirTakerAndTheOwnerAreKilled() throws Exception {
        fleet(3, 0, "");
        work(1, "order-it", "plan-it");
        List<String> keys = plan(30, "order-it", "o", 4000);
        keys.addAll(plan(30, "plan-it", "p", 4000));
        assertThat(keys).hasSize(60);
        One owner = lab.one(owner("schedule"));
        long before = fence();
        owner.signal("KILL");
        until("another owns the schedule", () -> !owner("schedule").isEmpty() && !owner("schedule").equals(owner.name()));
        assertThat(fence()).isGreaterThan(before);
        eachOnce(keys);
        double started = lab.history().nowMs();
        owner.start();
        joined(owner, started);
        until("it takes jobs", () -> Hands.plan(owner, lab.history(), "order-it", "again", 1) != null);
        eachOnce(List.of("again"));
    }

    /** Guards against an owner that wakes up late: what it still believes is refused, and nothing runs twice. */
    @Test
    void anOwnerThatWasStoppedDoesNoHarmWhenItWakes() throws Exception {
        fleet(3, 0, "");
        work(1, "order-it");
        for (int round = 0; round < 2; round++) {
            One owner = lab.one(owner("schedule"));
            List<String> keys = plan(40, "order-it", "r" + round + "-", 2000);
            Thread.sleep(1500);
            owner.signal("STOP");
            until("another owns the schedule", () -> lab.all().stream().filter(o -> o != owner).anyMatch(o -> {
                String now = FleetLab.owner(lab.show(o), "schedule");
                return !now.isEmpty() && !now.equals(owner.name());
            }));
            Thread.sleep(500);
            double woken = lab.history().nowMs();
            owner.signal("CONT");
            assertThat(lab.history().await(woken, PATIENCE_MS, s -> s.who().equals(owner.name()) && s.words().contains(
                "is over"))).as("it learns that its life is over").isNotNull();
            joined(owner, woken);
            until("none waits", () -> page().object("schedule").whole("waiting") == 0);
            int given = page().object("schedule").list("givenUp").size();
            until("all ran or were given up", () -> keys.stream().filter(k -> runs(k) == 0).count() <= given);
            assertThat(keys).allSatisfy(k -> assertThat(runs(k)).as(k).isLessThanOrEqualTo(1));
        }
    }

    /** Guards the orderly end: an owner that is told to stop passes its duty on at once, and all restart in turn. */
    @Test
    void sigtermYieldsAtOnceAndARollingRestartLosesNothing() throws Exception {
        fleet(3, 0, "");
        work(1, "order-it");
        List<String> keys = plan(30, "order-it", "o", 9000);
        for (One o : lab.all()) {
            boolean owned = owner("schedule").equals(o.name());
            double at = lab.history().nowMs();
            o.signal("TERM");
            if (owned) {
                assertThat(lab.history().await(at, PATIENCE_MS, s -> s.what().equals("log") && s.words().contains(
                    "was " + o.name() + "'s"))).as("another owns it").isNotNull();
            }
            assertThat(o.ended(PATIENCE_MS)).isTrue();
            o.start();
            joined(o, at);
        }
        eachOnce(keys);
    }

    private int call(One at, String what) throws Exception {
        return HttpClient.newHttpClient().send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + at.ops()
            + "/control/workers/" + what)).POST(HttpRequest.BodyPublishers.noBody()).build(),
            HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    /** Guards the operators' bans: said at one they hold at all, outlive the end of every process, and end by one call. */
    @Test
    void bansHoldForTheFleetAndOutliveARestartOfAll() throws Exception {
        fleet(3, 0, "\"discovery\": \"127.0.0.1:1\", \"known\": {\"seq\": 1, \"whole\": true, \"hosts\": [{\"host\": \"n1\", \"dial\": \"127.0.0.1:1\", "
            + "\"health\": \"up\", \"site\": \"plant-1\", \"class\": \"gearman\", \"share\": 1.0, \"born_ms\": 0}]}, ");
        One first = lab.all().get(0);
        One second = lab.all().get(1);
        assertThat(call(first, "n9/offline")).isEqualTo(404);
        assertThat(call(first, "n1/offline")).isEqualTo(200);
        until("it holds everywhere", () -> page().list("offline").equals(List.of("n1")));
        double killed = lab.history().nowMs();
        for (One o : lab.all()) {
            o.signal("KILL");
        }
        for (One o : List.of(second, lab.all().get(2), first)) {
            assertThat(o.ended(PATIENCE_MS)).isTrue();
            o.start();
        }
        for (One o : lab.all()) {
            joined(o, killed);
        }
        assertThat(page().list("offline")).isEqualTo(List.of("n1"));
        until("the fleet takes it back", () -> call(second, "n1/online") == 200);
        until("it is back", () -> page().list("offline").isEmpty());
        lab.cutOff("s2", true, true, true);
        until("the lease of s2 has ended", () -> lab.history().of("log").stream().anyMatch(s -> s.who().equals("s2")
            && s.words().contains("serves on by itself")));
        assertThat(call(second, "n1/offline")).as("out here, but not agreed on").isEqualTo(503);
        lab.cutOff("s2", true, true, false);
        until("s2 is heard again", () -> call(second, "n1/offline") == 200);
    }
}
