package plumpost.gearman;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.Scenario;
import plumpost.peers.Fleet;

/**
 * Guards background jobs that were answered JOB_CREATED and dropped in the same call (review case 8): a job that the core refuses
 * is never taken, while outcomes use up their memory, and one that was taken runs.
 */
class TakenJobsTest {
    private static final int RESULT_BYTES = 60_000;
    /** Results of this size use up the MiB that a scenario has for outcomes. */
    private static final int RESULTS = 18;

    /** A scheduler with a worker of each class whose memory for outcomes is used up for as long as a class's deadline. */
    private static Scenario withFullOutcomes() {
        Scenario scenario = new Scenario(0).play("""
                plug9 send CAN_DO|route-plan
                plug9 send GRAB_JOB_UNIQ
                plug9 expect NO_JOB
                plug9 send PRE_SLEEP
                plug8 send CAN_DO|pickup-order
                plug8 send GRAB_JOB_UNIQ
                plug8 expect NO_JOB
                plug8 send PRE_SLEEP
                wait 500
                """);
        for (int i = 0; i < RESULTS; i++) {
            scenario.play("""
                    plug1 send SUBMIT_JOB|route-plan|key-%d|x
                    plug1 expect JOB_CREATED|*
                    plug9 expect NOOP
                    plug9 send GRAB_JOB_UNIQ
                    plug9 expect JOB_ASSIGN_UNIQ|*
                    plug9 send WORK_COMPLETE|$|%s
                    plug1 expect WORK_COMPLETE|*
                    plug9 send PRE_SLEEP
                    """.formatted(i, "r".repeat(RESULT_BYTES)));
        }
        return scenario;
    }

    /** A client is told ERROR, after which it may try again, and no job is kept or counted as open. */
    @ParameterizedTest
    @ValueSource(strings = {"SUBMIT_JOB_BG", "SUBMIT_JOB_HIGH_BG", "SUBMIT_JOB_LOW_BG", "SUBMIT_JOB"})
    void aJobThatTheCoreRefusesIsNotTaken(String submit) {
        Scenario scenario = withFullOutcomes();
        scenario.play("""
                plug1 send %s|pickup-order|order|towels
                plug1 expect ERROR|full|*outcomes*
                plug8 expect nothing
                plug1 send SUBMIT_JOB_BG|pickup-order||no key, no outcome to keep
                plug1 expect JOB_CREATED|*
                plug8 expect NOOP
                plug8 send GRAB_JOB_UNIQ
                plug8 expect JOB_ASSIGN_UNIQ|*|no key, no outcome to keep
                """.formatted(submit));
        assertThat(scenario.core.openJobCount()).isEqualTo(1);
    }

    /** A scheduled job that is due waits until its outcome can be kept, and then runs. */
    @Test
    void aDueJobThatTheCoreRefusesWaits() {
        Scenario scenario = withFullOutcomes();
        scenario.play("""
                plug1 send SUBMIT_JOB_EPOCH|pickup-order|order|1|towels
                plug1 expect JOB_CREATED|*
                wait 300
                plug1 send GET_STATUS|$
                plug1 expect STATUS_RES|*|1|0|0|0
                plug8 expect nothing
                wait 8000
                plug8 expect NOOP
                plug8 send GRAB_JOB_UNIQ
                plug8 expect JOB_ASSIGN_UNIQ|*|pickup-order|order|towels
                """);
        assertThat(scenario.counters.get("gearman.schedule_waits")).isPositive();
    }

    /**
     * Guards taken background jobs that the module gives up after its attempts, none of which ran: they are submitted again, under the
     * same handle and key, until a worker gets them, and once only.
     */
    @Test
    void aTakenJobThatIsRefusedLaterIsSubmittedAgain() {
        String oneAttempt = Scenario.SETTINGS.replace("\"maxAttempts\":6", "\"maxAttempts\":1");
        Scenario scenario = new Scenario(0, oneAttempt).play("""
                plug8 send CAN_DO|pickup-order
                plug8 send GRAB_JOB_UNIQ
                plug8 expect NO_JOB
                plug8 send PRE_SLEEP
                wait 500
                plug1 send SUBMIT_JOB_BG|pickup-order|order|towels
                plug1 expect JOB_CREATED|*
                plug8 expect NOOP
                """);
        scenario.play("plug8 close\nwait 50\nplug1 send GET_STATUS|$\nplug1 expect STATUS_RES|*|1|0|0|*")
                .play("plug1 send SUBMIT_JOB_BG|pickup-order|order|towels\nplug1 expect JOB_CREATED|*")
                .play("""
                plug9 send CAN_DO|pickup-order
                plug9 send GRAB_JOB_UNIQ
                plug9 expect NO_JOB
                plug9 send PRE_SLEEP
                wait 2500
                plug9 expect NOOP
                plug9 send GRAB_JOB_UNIQ
                plug9 expect JOB_ASSIGN_UNIQ|*|pickup-order|order|towels
                plug9 send WORK_COMPLETE|$|van
                wait 5000
                plug9 send GRAB_JOB_UNIQ
                plug9 expect NO_JOB
                """);
        assertThat(scenario.counters.get("gearman.resubmitted")).isPositive();
        assertThat(scenario.core.openJobCount()).isZero();
    }

    /** A planned job of the fleet that the core refuses is not taken over, so the fleet gives it to another scheduler. */
    @Test
    void aPlannedJobThatTheCoreRefusesIsNotTaken() {
        Scenario scenario = withFullOutcomes();
        RecordingFleet recording = new RecordingFleet();
        scenario.gearman.joinFleet(recording.fleet);
        Fleet.Job job = new Fleet.Job("H:other:1", "pickup-order", "order", new byte[0], 0, false);
        assertThat(scenario.gearman.runPlanned(job)).isFalse();
        scenario.play("wait 8100");
        assertThat(scenario.gearman.runPlanned(job)).isTrue();
    }
}
