package plumpost.gearman;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.Scenario;

/** Tests the Gearman front with clients and workers in memory. The worker is warm after the wait in WORKER. */
class GearmanTest {

    /** Silent connections must not use up the connection limit; one that has sent something is never closed for it. */
    @Test
    void silentConnectionIsClosed() {
        Scenario scenario =
                new Scenario(0).play("plug1 send ECHO_REQ|a\nplug1 expect ECHO_RES|a\nplug2 expect nothing");
        assertThat(scenario.gearman.closeSilentConnection())
                .as("a new connection")
                .isFalse();
        scenario.play("wait 200");
        assertThat(scenario.gearman.closeSilentConnection()).isTrue();
        scenario.play("plug2 expect closed\nplug1 expect nothing");
        assertThat(scenario.gearman.closeSilentConnection()).isFalse();
    }

    private static final String WORKER = """
        plug9 send CAN_DO|route-plan
        plug9 send CAN_DO|pickup-order
        plug9 send GRAB_JOB_UNIQ
        plug9 expect NO_JOB
        plug9 send PRE_SLEEP
        wait 500
        """;

    /** Steps in which a client submits a job and the worker grabs it. */
    private static String assigned(String submit) {
        return "plug1 send " + submit + """

            plug1 expect JOB_CREATED|*
            plug9 expect NOOP
            plug9 send GRAB_JOB
            plug9 expect JOB_ASSIGN|*
            """;
    }

    private static Scenario play(String steps) {
        return new Scenario(0).play(WORKER + steps);
    }

    /**
     * Guards a client that joins a background job which hangs: it is answered within its class's time, and not after the hour that
     * the job may have. The job goes on, and its outcome is for who comes again.
     */
    @Test
    void aClientThatJoinsABackgroundJobIsAnsweredInItsOwnTime() {
        Scenario scenario = play(assigned("SUBMIT_JOB_BG|route-plan|u|x") + """
            plug2 send SUBMIT_JOB|route-plan|u|x
            plug2 expect JOB_CREATED|*
            wait 7900
            plug2 expect nothing
            wait 200
            plug2 expect WORK_FAIL|*
            """);
        assertThat(scenario.core.openJobCount()).as("the job goes on").isEqualTo(1);
        scenario.play("""
            plug9 send WORK_COMPLETE|$|done
            plug2 expect nothing
            plug3 send SUBMIT_JOB|route-plan|u|x
            plug3 expect JOB_CREATED|*
            plug3 expect WORK_COMPLETE|*|done
            """);
    }

    /** The normal course of a job: created, worker woken, assigned with all arguments, progress, complete. */
    @Test
    void jobIsAssignedAndCompletes() {
        play("""
            plug1 send SUBMIT_JOB|pickup-order|u|towels
            plug1 expect JOB_CREATED|H:t:*
            plug9 expect NOOP
            plug9 send GRAB_JOB_UNIQ
            plug9 expect JOB_ASSIGN_UNIQ|H:t:*|pickup-order|u|towels
            plug2 send GET_STATUS|$
            plug2 expect STATUS_RES|H:t:*|1|1|0|100
            plug9 send WORK_STATUS|$|1|4
            plug1 expect WORK_STATUS|H:t:*|25|100
            plug9 send WORK_DATA|$|van
            plug9 send WORK_WARNING|$|rain
            plug1 expect WORK_DATA|H:t:*|van
            plug1 expect WORK_WARNING|H:t:*|rain
            plug2 send GET_STATUS_UNIQUE|u
            plug2 expect STATUS_RES_UNIQUE|u|1|1|25|100|1
            plug9 send WORK_COMPLETE|$| sent
            plug1 expect WORK_COMPLETE|H:t:*| sent
            plug1 expect nothing
            plug2 send GET_STATUS|$
            plug2 expect STATUS_RES|H:t:*|0|0|0|0
            """);
    }

    /** An order must not run twice when its worker is lost: it fails, unless the worker had not grabbed it yet. */
    @Test
    void orderFailsWhenItsWorkerIsLost() {
        play(assigned("SUBMIT_JOB|pickup-order||towels") + """
            plug9 close
            plug1 expect WORK_FAIL|H:t:*
            plug1 expect nothing
            """);
        Scenario scenario = play("""
            plug1 send SUBMIT_JOB|pickup-order||towels
            plug1 expect JOB_CREATED|*
            plug9 close
            plug8 send CAN_DO|pickup-order
            plug8 send PRE_SLEEP
            wait 700
            plug8 expect NOOP
            plug8 send GRAB_JOB_ALL
            plug8 expect JOB_ASSIGN_ALL|H:t:*|pickup-order|||towels
            plug8 send WORK_COMPLETE|$|van
            plug1 expect WORK_COMPLETE|H:t:*|van
            """);
        assertThat(scenario.counters.get("attempts.connect_failed")).isEqualTo(1);
    }

    /** A route plan may run twice: when its worker is lost it goes to another one. */
    @Test
    void routePlanIsRetriedWhenItsWorkerIsLost() {
        play(assigned("SUBMIT_JOB_HIGH|route-plan||x") + """
            plug9 close
            plug1 expect nothing
            plug8 send CAN_DO|route-plan
            plug8 send PRE_SLEEP
            wait 700
            plug8 expect NOOP
            plug8 send GRAB_JOB
            plug8 expect JOB_ASSIGN|H:t:*|route-plan|x
            plug8 send WORK_COMPLETE|$|r
            plug1 expect WORK_COMPLETE|H:t:*|r
            """);
    }

    /** A resubmitted order joins the run of its first client, which has left, and later gets the kept outcome. */
    @Test
    void resubmittedOrderNeverRunsTwice() {
        Scenario scenario = play(assigned("SUBMIT_JOB|pickup-order|u|towels") + """
            plug1 close
            plug2 send SUBMIT_JOB|pickup-order|u|towels
            plug2 expect JOB_CREATED|*
            plug3 send SUBMIT_JOB|pickup-order|u|towels
            plug3 expect JOB_CREATED|*
            plug9 send WORK_COMPLETE|$|van
            plug2 expect WORK_COMPLETE|*|van
            plug3 expect WORK_COMPLETE|*|van
            wait 19000
            plug4 send SUBMIT_JOB|pickup-order|u|towels
            plug4 expect JOB_CREATED|*
            plug4 expect WORK_COMPLETE|*|van
            plug9 expect nothing
            """);
        assertThat(scenario.counters.get("attempts.out")).isEqualTo(1);
    }

    /** The unique key {@code -} stands for the data itself, however long it is. */
    @Test
    void dataServesAsUniqueKey() {
        String data = "x".repeat(5000);
        Scenario scenario = play("plug1 send SUBMIT_JOB|pickup-order|-|" + data + "\nplug1 expect JOB_CREATED|*\n"
                + "plug2 send SUBMIT_JOB|pickup-order|-|" + data + "\nplug2 expect JOB_CREATED|*\n"
                + "plug2 send SUBMIT_JOB|pickup-order|-|other\nplug2 expect JOB_CREATED|*\n");
        assertThat(scenario.counters.get("jobs.joined")).isEqualTo(1);
    }

    /** A peer that sends a packet byte by byte without end must not hold its connection. */
    @Test
    void unfinishedPacketTimesOut() {
        String drip = "plug1 send \"\\0\"\nwait 4000\nplug1 send \"R\"\nwait 4000\nplug1 send \"E\"\nwait 4000\n";
        new Scenario(0).play(drip + "plug1 expect ERROR|timeout|*\nplug1 expect closed");
    }

    /** A resubmitted order that has failed gets the kept failure, not a new run. */
    @Test
    void resubmittedFailedOrderFails() {
        Scenario scenario = play(assigned("SUBMIT_JOB|pickup-order|u|towels") + """
            plug9 send WORK_EXCEPTION|$|no van
            plug1 expect WORK_FAIL|*
            plug9 send WORK_FAIL|$
            plug1 expect nothing
            plug1 send SUBMIT_JOB_LOW|pickup-order|u|towels
            plug1 expect JOB_CREATED|*
            plug1 expect WORK_FAIL|*
            """);
        assertThat(scenario.counters.get("attempts.out")).isEqualTo(1);
    }

    /** Exactly one WORK_FAIL is sent at the deadline if the worker never finishes or no worker runs the class. */
    @Test
    void missedDeadlineIsAnsweredWithWorkFail() {
        play(assigned("SUBMIT_JOB|pickup-order||x") + """
            wait 19900
            plug1 expect nothing
            wait 110
            plug1 expect WORK_FAIL|*
            plug9 send WORK_COMPLETE|$|late
            plug1 expect nothing
            """);
        new Scenario(0)
                .play("plug1 send SUBMIT_JOB|route-plan||x\nplug1 expect JOB_CREATED|*\nwait 8010\n"
                        + "plug1 expect WORK_FAIL|*\nplug1 expect nothing");
    }

    /** A job beyond the limits on open jobs is rejected at once, with the limits' names and the time to retry after. */
    @Test
    void fullJobLimitNamesItsSettingsAndRetryTime() {
        StringBuilder steps = new StringBuilder();
        for (int i = 0; i < 64; i++) {
            steps.append("plug1 send SUBMIT_JOB_BG|route-plan||x\nplug1 expect JOB_CREATED|*\n");
        }
        new Scenario(0).play(steps + """
            plug2 send OPTION_REQ|exceptions
            plug2 expect OPTION_RES|exceptions
            plug2 send SUBMIT_JOB|route-plan||x
            plug2 expect ERROR|full|limits.openJobs or limits.jobBytes is used up; try again after 1000 ms
            plug2 expect nothing
            wait 3600000
            plug2 send SUBMIT_JOB|route-plan||x
            plug2 expect JOB_CREATED|*
            """);
    }

    /** After CANT_DO a worker gets no job of that function, ungrabbed ones go back, and all others go on. */
    @Test
    void cantDoDrainsTheFunction() {
        play("""
            plug1 send SUBMIT_JOB|route-plan||x
            plug1 expect JOB_CREATED|*
            plug9 expect NOOP
            plug9 send CANT_DO|route-plan
            plug9 send GRAB_JOB
            plug9 expect NO_JOB
            plug9 send PRE_SLEEP
            wait 3000
            plug1 send SUBMIT_JOB|pickup-order||y
            plug1 expect JOB_CREATED|*
            plug9 expect NOOP
            plug9 send GRAB_JOB
            plug9 expect JOB_ASSIGN|H:t:*|pickup-order|y
            plug9 send RESET_ABILITIES
            plug9 send WORK_COMPLETE|$|van
            plug1 expect WORK_COMPLETE|*|van
            plug9 send GRAB_JOB
            plug9 expect NO_JOB
            """);
    }

    /** A cold worker gets no more jobs than it may warm up on. */
    @Test
    void coldWorkerGetsFewJobs() {
        StringBuilder steps = new StringBuilder("plug9 send CAN_DO|route-plan\nplug9 send PRE_SLEEP\n");
        for (int i = 0; i < 20; i++) {
            steps.append("plug1 send SUBMIT_JOB_BG|route-plan||x\nplug1 expect JOB_CREATED|*\n");
        }
        Scenario scenario = new Scenario(0).play(steps + "wait 100");
        assertThat(scenario.counters.get("attempts.out")).isLessThanOrEqualTo(1);
        scenario.play("wait 700");
        assertThat(scenario.counters.get("attempts.out")).isPositive();
    }

    /** A job that a woken worker does not grab within a second ends there as never started, and its client waits on. */
    @Test
    void jobThatIsNotGrabbedEndsAsNeverStarted() {
        Scenario scenario = play("plug1 send SUBMIT_JOB|pickup-order||x\nplug1 expect JOB_CREATED|*\nwait 1010");
        assertThat(scenario.counters.get("attempts.connect_failed")).isEqualTo(1);
        scenario.play("plug1 expect nothing");
    }

    /** The time limit of CAN_DO_TIMEOUT ends the attempt, and the order is not sent again. */
    @Test
    void canDoTimeoutEndsTheAttempt() {
        new Scenario(0)
                .play("plug9 send CAN_DO_TIMEOUT|pickup-order|2\nplug9 send PRE_SLEEP\nwait 500\n"
                        + assigned("SUBMIT_JOB|pickup-order||x") + """
            wait 2010
            plug1 expect WORK_FAIL|*
            """);
    }

    /** A Gearman worker can serve a job from HTTP, and an HTTP node can serve one from a Gearman client. */
    @Test
    void bothFrontsAreServedByBothKindsOfNode() {
        play("""
            desk1 send POST /pickup-order a 20000 towels
            plug9 expect NOOP
            plug9 send GRAB_JOB
            plug9 expect JOB_ASSIGN|H:t:a|pickup-order|towels
            plug9 send WORK_COMPLETE|$|van
            desk1 expect 200 van
            """);
        new Scenario(1).play("""
            plug1 send SUBMIT_JOB|route-plan|u|x
            plug1 expect JOB_CREATED|*
            node1 expect POST /route-plan * x
            """);
    }

    /** Admin commands are answered on any connection; one that can do harm is off by default. */
    @Test
    void adminCommandsAreAnswered() {
        play("""
            plug9 send SET_CLIENT_ID|old van
            plug1 send SUBMIT_JOB_BG|route-plan||x
            plug1 expect JOB_CREATED|*
            plug2 send text:status
            plug2 expect "route-plan\\t1\\t1\\t1\\npickup-order\\t0\\t0\\t1\\n.\\n"
            plug2 send text:workers
            plug2 expect "1 - old_van : route-plan pickup-order\\n.\\n"
            plug2 send text:version
            plug2 expect "OK 0\\n"
            plug2 send text:shutdown
            plug2 expect "ERR NOT_ALLOWED shutdown+is+off:+set+gearman.admin.shutdown\\n"
            plug2 send ECHO_REQ|hello
            plug2 expect ECHO_RES|hello
            """);
    }

    /** A malformed packet is answered with ERROR, and its connection is closed. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\\000RES\\0\\0\\0\\020\\0\\0\\0\\0",
                "\\000REQ\\0\\0\\0\\143\\0\\0\\0\\0",
                "\\000REQ\\0\\0\\0\\007\\0\\0\\0\\002ab",
                "\\000REQ\\0\\0\\0\\007\\377\\0\\0\\0",
                "\\001abc",
                "\\000REQ\\0\\0\\0\\011\\0\\0\\0\\001a"
            })
    void malformedPacketsEndTheConnection(String bytes) {
        new Scenario(0).play("plug1 send \"" + bytes + "\"\nplug1 expect ERROR|*\nplug1 expect closed");
    }

    /** A well-formed packet that asks for something unsupported is answered with ERROR; the connection stays open. */
    @ParameterizedTest
    @CsvSource({
        "SUBMIT_JOB|laundry|u|x,unknown_function",
        "OPTION_REQ|magic,unknown_option",
        "SUBMIT_JOB_EPOCH|route-plan|u|soon|x,bad_time"
    })
    void unsupportedRequestIsAnsweredWithError(String packet, String code) {
        new Scenario(0)
                .play("plug1 send " + packet + "\nplug1 expect ERROR|" + code + "|*\nplug1 send ECHO_REQ|x\n"
                        + "plug1 expect ECHO_RES|x");
    }
}
