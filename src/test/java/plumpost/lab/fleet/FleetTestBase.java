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
import org.junit.jupiter.api.TestInfo;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.lab.fleet.FleetLab.SchedulerProcess;

/** Base of the tests with several processes: a fleet, its workers, and waiting with generous time limits. */
abstract class FleetTestBase {
    static final long TIMEOUT_MS = 60_000;

    FleetLab lab;
    Path directory;
    /** Further settings of the peers as JSON fields, each followed by a comma. */
    String extraPeerSettings = "";

    final List<LabWorkers> workers = new ArrayList<>();

    @BeforeEach
    void prepareDirectory(TestInfo test) throws IOException {
        directory = Path.of(
                        "target", "fleet-it", test.getTestMethod().orElseThrow().getName())
                .toAbsolutePath();
        if (Files.exists(directory)) {
            try (Stream<Path> files = Files.walk(directory)) {
                for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
    }

    @AfterEach
    void tearDown() throws IOException {
        workers.forEach(LabWorkers::close);
        if (lab != null) {
            StringBuilder seen = new StringBuilder();
            lab.history()
                    .events()
                    .forEach(event -> seen.append(String.format(
                            "%9.0f %s %s %s%n", event.atMs(), event.source(), event.kind(), event.text())));
            lab.close();
            Files.writeString(directory.resolve("history.txt"), seen);
        }
    }

    /** Creates a fleet spread over {@code sites} sites without starting its processes. */
    void createFleet(int voters, int followers, int sites, String more) throws IOException {
        lab = new FleetLab(new FleetLab.FleetSpec(
                Path.of("target/plumpost.jar").toAbsolutePath(),
                Path.of("deploy/gearman.json").toAbsolutePath(),
                directory,
                voters,
                followers,
                sites,
                "\"snapshotEvery\": 20, " + extraPeerSettings,
                more));
    }

    void startFleet(int voters, int followers, int sites, String more) throws Exception {
        createFleet(voters, followers, sites, more);
        for (SchedulerProcess process : lab.processes()) {
            process.start();
        }
        for (SchedulerProcess process : lab.processes()) {
            awaitJoined(process, 0);
        }
    }

    /** Waits until a scheduler logs that it takes part in the fleet. */
    void awaitJoined(SchedulerProcess process, double since) throws Exception {
        awaitLogLine(process, since, "takes part");
    }

    /** Waits until a scheduler logs a line that contains {@code words} and returns it. */
    History.Event awaitLogLine(SchedulerProcess process, double since, String words) throws Exception {
        History.Event event = lab.history()
                .await(
                        since,
                        TIMEOUT_MS,
                        entry -> entry.source().equals(process.name())
                                && entry.kind().equals("log")
                                && entry.text().contains(words));
        assertThat(event).as(process.name() + " says: " + words).isNotNull();
        return event;
    }

    Fields showFleet() {
        for (SchedulerProcess process : lab.processes()) {
            Fields status = process.isRunning() ? lab.show(process) : null;
            if (status != null) {
                return status;
            }
        }
        return null;
    }

    String owner(String duty) {
        return FleetLab.ownerOf(showFleet(), duty);
    }

    long fence() {
        return FleetLab.dutyField(showFleet(), "schedule", "fence") instanceof Number n ? n.longValue() : 0;
    }

    /** Yields the schedule until its owner is not the leader of the log; returns the owner. */
    SchedulerProcess moveScheduleOffLeader() throws Exception {
        awaitUntil("the owner does not lead", () -> {
            Fields status = showFleet();
            if (status == null || FleetLab.ownerOf(status, "schedule").isEmpty()) {
                return false;
            }
            if (FleetLab.ownerOf(status, "schedule").equals(status.text("leader"))) {
                yieldSchedule();
                return false;
            }
            return true;
        });
        return lab.process(owner("schedule"));
    }

    /** Asks for another owner of the schedule; tolerates the refusal while the others are late or suspect. */
    private void yieldSchedule() throws Exception {
        try {
            lab.runCommand(lab.processes().get(0), "yield", "schedule");
        } catch (BadInput e) {
            assertThat(e).hasMessageContaining("nobody else can take schedule");
        }
    }

    int writtenFormat() {
        return showFleet() == null ? 0 : showFleet().integer("format");
    }

    static void awaitUntil(String description, Callable<Boolean> condition) throws Exception {
        for (long end = System.nanoTime() + TIMEOUT_MS * 1_000_000; !condition.call(); Thread.sleep(100)) {
            assertThat(System.nanoTime())
                    .as("waited long enough until " + description)
                    .isLessThan(end);
        }
    }

    void startWorkers(int ms, String... functions) {
        lab.processes().forEach(process -> workers.add(new LabWorkers(process, lab.history(), 2, ms, functions)));
    }

    /** Submits a scheduled job, and checks that it is refused with an ERROR packet and not left without an answer. */
    void assertScheduledIsRefused(SchedulerProcess process, String key) {
        assertThat(LabWorkers.submitScheduled(process, lab.history(), "order-it", key, 1))
                .isNull();
        assertRefused(key);
    }

    /** Checks that the submission of a key that was not accepted was answered. */
    void assertRefused(String key) {
        assertThat(lab.history().ofKind("not taken"))
                .as(key + " is answered with an ERROR packet")
                .anyMatch(event -> event.text().startsWith(key + " "));
    }

    /** Submits scheduled jobs to all schedulers in turn; returns the keys of the accepted ones. */
    List<String> submitScheduled(int count, String function, String keyPrefix, double inMs) {
        return submitScheduledAt(count, function, keyPrefix, (System.currentTimeMillis() + (long) inMs) / 1000);
    }

    /** Submits scheduled jobs to all schedulers in turn, each again under its key until it is acknowledged. */
    List<String> submitScheduledUntilAccepted(int count, String function, String keyPrefix, double inMs)
            throws Exception {
        long startAtS = (System.currentTimeMillis() + (long) inMs) / 1000;
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            SchedulerProcess process = lab.processes().get(i % lab.processes().size());
            String key = keyPrefix + i;
            awaitUntil(
                    key + " is taken",
                    () -> LabWorkers.submitScheduled(process, lab.history(), function, key, startAtS) != null);
            keys.add(key);
        }
        return keys;
    }

    /** Submits jobs for a Unix time to all running schedulers in turn; returns the keys of the accepted ones. */
    List<String> submitScheduledAt(int count, String function, String keyPrefix, long startAtS) {
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            SchedulerProcess process = lab.processes().get(i % lab.processes().size());
            if (process.isRunning()
                    && LabWorkers.submitScheduled(process, lab.history(), function, keyPrefix + i, startAtS) != null) {
                keys.add(keyPrefix + i);
            }
        }
        return keys;
    }

    long runCount(String key) {
        return lab.history().ofKind("run").stream()
                .filter(event -> event.text().equals(key))
                .count();
    }

    void assertEachRanOnce(List<String> keys) throws Exception {
        awaitUntil("all ran", () -> keys.stream().allMatch(k -> runCount(k) > 0));
        assertThat(keys).allSatisfy(k -> assertThat(runCount(k)).as(k).isEqualTo(1));
    }

    /** Waits until each job ran or was given up as one that may have run; asserts that none ran twice. */
    void assertEachRanOnceOrWasGivenUp(List<String> keys) throws Exception {
        awaitUntil("all ran or were given up", () -> {
            Fields status = showFleet();
            return status != null
                    && status.object("schedule").integer("waiting") == 0
                    && status.object("schedule").integer("begun") == 0
                    && status.object("schedule").integer("fired") == 0
                    && keys.stream().allMatch(k -> runCount(k) > 0 || isGivenUp(status, k));
        });
        assertThat(keys).allSatisfy(k -> assertThat(runCount(k)).as(k).isLessThanOrEqualTo(1));
    }

    /** Tells whether the fleet reports a job as given up. */
    boolean isGivenUp(Fields page, String key) {
        return lab.history().ofKind("handle").stream()
                .anyMatch(event -> event.text().startsWith(key + " ")
                        && page.object("schedule")
                                .list("givenUp")
                                .contains(event.text().substring(key.length() + 1)));
    }

    /** Calls the operators' listener about a route node; returns the HTTP status. */
    static int callOperatorApi(SchedulerProcess process, String description) throws Exception {
        return HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create(
                                        "http://127.0.0.1:" + process.opsPort() + "/control/workers/" + description))
                                .POST(HttpRequest.BodyPublishers.noBody())
                                .build(),
                        HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    /** Reads a counter from the operators' listener. */
    static long readCounter(SchedulerProcess process, String name) throws Exception {
        String all = HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(
                                        URI.create("http://127.0.0.1:" + process.opsPort() + "/control/counters"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
        return Long.parseLong(all.replaceAll("(?s).*node\\." + name + ":([0-9]+)\\|.*", "$1"));
    }
}
