package plumpost.gearman;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.Scenario;
import plumpost.config.GearmanConfig;
import plumpost.config.Json;
import plumpost.config.SettingsReader;
import plumpost.decision.Dispatcher.Settings;
import plumpost.dispatch.WorkKind;
import plumpost.peers.Fleet;
import plumpost.peers.Ledger;

/** Tests what new settings at SIGHUP mean for the Gearman front, its functions and the fleet's jobs. */
class GearmanSettingsTest {
    private static final String FREE_CLASS = "\"deadlineMs\":8000.0,\"effect\":\"free\"";

    private static Settings settings(String json) {
        return SettingsReader.settings(Json.object("settings", json.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Guards orders that ran twice (review case 7): whether an order may run twice, and how long its client is kept waiting for the
     * fleet, follow the settings in force when it is submitted, and not those of the start.
     */
    @Test
    void coveredAndPlannedJobsFollowTheSettingsInForce() {
        Scenario scenario = new Scenario(0);
        RecordingFleet recording = new RecordingFleet();
        scenario.gearman.joinFleet(recording.fleet);
        scenario.play("plug1 send SUBMIT_JOB|route-plan|a|x\nplug2 send SUBMIT_JOB_EPOCH|route-plan|b|4000000000|x");
        scenario.core.retune(
                settings(Scenario.SETTINGS.replace(FREE_CLASS, "\"deadlineMs\":2000.0,\"effect\":\"single_shot\"")));
        scenario.play("plug3 send SUBMIT_JOB|route-plan|c|x\nplug4 send SUBMIT_JOB_EPOCH|route-plan|d|4000000000|x");
        assertThat(recording.orders).extracting(Ledger.Order::repeatable).containsExactly(true, false);
        assertThat(recording.orders).extracting(Ledger.Order::patienceMs).containsExactly(8_000.0, 2_000.0);
        assertThat(recording.limitsMs).containsExactly(7_750.0, 1_750.0);
        assertThat(recording.plannedJobs).extracting(Fleet.Job::repeatable).containsExactly(true, false);
    }

    /**
     * Guards orders that ran again after their window (play GuardedWindow of the second review): the fleet's log has no window, so
     * that it may hand only jobs of a class without one out again.
     */
    @Test
    void onlyFreeJobsOfTheFleetAreRepeatable() {
        for (String effect : List.of("free", "guarded", "single_shot")) {
            Scenario scenario = new Scenario(0);
            RecordingFleet recording = new RecordingFleet();
            scenario.gearman.joinFleet(recording.fleet);
            String settings =
                    Scenario.SETTINGS.replace(FREE_CLASS, "\"deadlineMs\":8000.0,\"effect\":\"" + effect + "\"");
            scenario.core.retune(settings(settings));
            scenario.play(
                    "plug1 send SUBMIT_JOB|route-plan|a|x\nplug2 send SUBMIT_JOB_EPOCH|route-plan|b|4000000000|x");
            recording.takesStartTimes = true;
            scenario.play("plug3 send SUBMIT_JOB_EPOCH|route-plan|c|4000000000|x");
            boolean expected = effect.equals("free");
            assertThat(recording.orders).extracting(Ledger.Order::repeatable).containsExactly(expected, expected);
            assertThat(recording.plannedJobs).extracting(Fleet.Job::repeatable).containsExactly(expected);
        }
    }

    /**
     * Guards clients of covered orders that had no answer at SIGKILL (related to review case 10): they are answered as early as the
     * deadlines in force ask, whether those got shorter before or after SIGTERM.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void clientsOfCoveredOrdersAreAnsweredBeforeTheDeadlinesInForceAllowSigkill(boolean sighupFirst) {
        Scenario scenario = new Scenario(0);
        RecordingFleet recording = new RecordingFleet();
        recording.agrees = true;
        scenario.gearman.joinFleet(recording.fleet);
        String shorter = Scenario.SETTINGS
                .replace("\"deadlineMs\":8000.0", "\"deadlineMs\":1000.0")
                .replace(
                        "\"name\":\"pickup-order\",\"sloMs\":400.0,\"deadlineMs\":20000.0",
                        "\"name\":\"r2\",\"sloMs\":400.0,\"deadlineMs\":1000.0");
        scenario.play("plug1 send SUBMIT_JOB|pickup-order|a|x\nplug1 expect JOB_CREATED|*");
        if (sighupFirst) {
            scenario.applyFile(shorter, "[]");
        }
        scenario.gearman.stop(scenario.nowMs, 700);
        if (!sighupFirst) {
            scenario.applyFile(shorter, "[]");
        }
        scenario.play("wait 900\nplug1 expect nothing\nwait 300\nplug1 expect WORK_FAIL|*");
    }

    /** Guards a client that waits past its time: a job's deadline is that of its class when it is submitted. */
    @ParameterizedTest
    @CsvSource({"2000", "12000"})
    void aJobHasTheDeadlineOfTheSettingsInForce(double deadlineMs) {
        Scenario scenario = new Scenario(0);
        scenario.core.retune(
                settings(Scenario.SETTINGS.replace("\"deadlineMs\":8000.0", "\"deadlineMs\":" + deadlineMs)));
        scenario.play("plug1 send SUBMIT_JOB|route-plan||x\nplug1 expect JOB_CREATED|*\nwait " + (deadlineMs - 100))
                .play("plug1 expect nothing\nwait 200\nplug1 expect WORK_FAIL|*");
    }

    private static final String ORDER_RULE = "[{\"match\":\"order-*\",\"class\":\"pickup-order\"}]";
    private static final String WITH_R2 = Scenario.SETTINGS.replace(
            "\"classes\":[",
            "\"classes\":[{\"name\":\"route-plan-r2\",\"sloMs\":600.0,\"deadlineMs\":8000.0,\"effect\":\"free\"},");

    /** A scheduler with one route node, and a warm Gearman worker of a function that a rule gives a class. */
    private static Scenario withVanWorker() {
        GearmanConfig config = Scenario.gearmanConfig(Scenario.SETTINGS, ORDER_RULE);
        return new Scenario(1, Scenario.SETTINGS, 1024, config, 64).play("""
                plug9 send CAN_DO|order-van
                plug9 send GRAB_JOB_UNIQ
                plug9 expect NO_JOB
                plug9 send PRE_SLEEP
                wait 500
                """);
    }

    /**
     * Guards jobs that ran as another function (review case 6): those of a class that appears at SIGHUP go to route nodes only, and
     * those of a function that is not a class to its Gearman workers only, however many of either appear.
     */
    @Test
    void aClassThatAppearsIsNotTheWorkOfAFunction() {
        Scenario scenario = withVanWorker().applyFile(WITH_R2, ORDER_RULE).play("""
                desk1 send POST /route-plan-r2 a 8000 x
                wait 20
                plug9 expect nothing
                node1 expect POST /route-plan-r2 a x
                node1 send done a plan
                desk1 expect 200 plan
                node1 wait
                plug1 send SUBMIT_JOB|order-van|u|towels
                plug1 expect JOB_CREATED|*
                plug9 expect NOOP
                plug2 send SUBMIT_JOB|order-van|v|sheets
                plug2 expect JOB_CREATED|*
                plug9 send GRAB_JOB_UNIQ
                plug9 expect JOB_ASSIGN_UNIQ|H:t:*|order-van|u|towels
                wait 2000
                plug9 send WORK_COMPLETE|$|van
                plug1 expect WORK_COMPLETE|*|van
                """);
        assertThat(scenario.counters.get("attempts.whole.pickup-order")).isEqualTo(1);
    }

    /** A class that appears is a function, one that disappears is none after the time in which its last jobs arrive. */
    @Test
    void classesOfNewSettingsAreFunctions() {
        withVanWorker()
                .play("plug1 send SUBMIT_JOB_BG|route-plan-r2||x\nplug1 expect ERROR|unknown_function|*")
                .applyFile(WITH_R2, ORDER_RULE)
                .play("plug1 send SUBMIT_JOB_BG|route-plan-r2||x\nplug1 expect JOB_CREATED|*")
                .applyFile(Scenario.SETTINGS, ORDER_RULE)
                .play("wait 1900\nplug1 send SUBMIT_JOB_BG|route-plan-r2||x\nplug1 expect JOB_CREATED|*")
                .play("wait 200\nplug1 send SUBMIT_JOB_BG|route-plan-r2||x\nplug1 expect ERROR|unknown_function|*");
    }

    /** New rules give a function another class for new jobs, a rule that is left out takes its functions' new jobs away. */
    @Test
    void rulesOfNewSettingsAreInForce() {
        Scenario scenario = withVanWorker();
        scenario.applyFile(Scenario.SETTINGS, "[{\"match\":\"order-*\",\"class\":\"route-plan\"}]")
                .play("plug1 send SUBMIT_JOB_BG|order-van||x\nplug1 expect JOB_CREATED|*");
        assertThat(scenario.counters.get("jobs.in.route-plan")).isEqualTo(1);
        scenario.applyFile(Scenario.SETTINGS, "[]")
                .play("plug1 send SUBMIT_JOB_BG|order-van||x\nplug1 expect ERROR|unknown_function|*");
    }

    /** Whatever classes and functions come and go, no two of them share a kind of work, and each keeps its own. */
    @Property(tries = 200)
    void classesAndFunctionsNeverShareAKindOfWork(@ForAll long seed) {
        Random random = new Random(seed);
        FunctionTable table = new FunctionTable(64);
        List<String> known = new ArrayList<>();
        Map<String, WorkKind> kinds = new HashMap<>();
        for (int step = 0; step < 100; step++) {
            String name = "f" + random.nextInt(40);
            switch (random.nextInt(3)) {
                case 0 -> {
                    if (!known.contains(name)) {
                        known.add(name);
                    }
                    Set<String> offered =
                            known.stream().filter(each -> random.nextBoolean()).collect(Collectors.toSet());
                    offered.add(name);
                    table.apply(known, offered, List.of(new GearmanConfig.Rule(Pattern.compile("f.*"), name)));
                }
                case 1 -> table.findOrAdd(name);
                default -> {
                    FunctionTable.Function function = table.findExisting(name);
                    if (function != null && table.remove(function)) {
                        assertThat(known.indexOf(name) == function.kind.number())
                                .isFalse();
                        kinds.remove(name);
                    }
                }
            }
            Set<WorkKind> seen = new HashSet<>();
            for (FunctionTable.Function function : table.functions()) {
                assertThat(seen.add(function.kind)).as(function.name).isTrue();
                assertThat(kinds.computeIfAbsent(function.name, key -> function.kind))
                        .isEqualTo(function.kind);
                assertThat(table.get(function.kind)).isSameAs(function);
                if (function.kind.isClass()) {
                    assertThat(known.get(function.kind.number())).isEqualTo(function.name);
                } else {
                    assertThat(function.kind.number()).isGreaterThanOrEqualTo(Settings.MAX_CLASSES);
                }
            }
        }
    }
}
