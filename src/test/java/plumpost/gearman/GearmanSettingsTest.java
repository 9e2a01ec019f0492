package plumpost.gearman;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import plumpost.Scenario;
import plumpost.config.Json;
import plumpost.config.SettingsReader;
import plumpost.decision.Dispatcher.Settings;
import plumpost.peers.Fleet;
import plumpost.peers.Ledger;

/** Tests what new settings at SIGHUP mean for the Gearman front, its functions and the fleet's jobs. */
class GearmanSettingsTest {
    private static final String FREE_CLASS = "\"deadlineMs\":8000.0,\"effect\":\"free\"";

    private static Settings settings(String json) {
        return SettingsReader.settings(Json.object("settings", json.getBytes(StandardCharsets.UTF_8)));
    }

    /** A fleet whose ledger covers all classes, and which records what it is given and answers nothing. */
    private static final class RecordingFleet {
        final List<Ledger.Order> orders = new ArrayList<>();
        final List<Fleet.Job> plannedJobs = new ArrayList<>();
        final List<Double> limitsMs = new ArrayList<>();
        boolean takesStartTimes;

        final Ledger ledger = (Ledger) Proxy.newProxyInstance(
                Ledger.class.getClassLoader(), new Class<?>[] {Ledger.class}, (proxy, method, arguments) -> {
                    switch (method.getName()) {
                        case "covers" -> {
                            return true;
                        }
                        case "takesStartTimes" -> {
                            return takesStartTimes;
                        }
                        case "take" -> {
                            orders.add((Ledger.Order) arguments[0]);
                            limitsMs.add((Double) arguments[1]);
                            return null;
                        }
                        default -> {
                            return null;
                        }
                    }
                });
        final Fleet fleet = (Fleet) Proxy.newProxyInstance(
                Fleet.class.getClassLoader(), new Class<?>[] {Fleet.class}, (proxy, method, arguments) -> {
                    switch (method.getName()) {
                        case "ledger" -> {
                            return ledger;
                        }
                        case "plan" -> {
                            plannedJobs.add((Fleet.Job) arguments[0]);
                            return null;
                        }
                        default -> {
                            return null;
                        }
                    }
                });
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
}
