package plumpost.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import plumpost.lab.gearman.LoadPage;
import plumpost.lab.gearman.LoadPlan;
import plumpost.lab.gearman.LoadResult;
import plumpost.lab.gearman.LoadRun;
import plumpost.lab.gearman.ServiceTime;

/** Audited load with injected faults against a front on loopback; docs/gearman.md describes the long run. */
class FaultsTest {
    private static LoadPlan plan(LabServer server, long seed, int jobs, double faults) {
        return new LoadPlan(
                server.address(),
                seed,
                12,
                40,
                jobs,
                0,
                1500,
                8,
                0.33,
                0.1,
                16,
                ServiceTime.parse("exp:4"),
                faults,
                "plan-lab",
                "order-lab",
                25,
                2);
    }

    private static LoadResult run(LoadPlan plan) throws Exception {
        return new LoadRun(plan).run(new PrintStream(OutputStream.nullOutputStream()), new LoadRun.ServerMeter(0));
    }

    /** Under all faults: one final answer for each submit, no order twice, no mixed results, no jobs after a drain. */
    @Test
    void rulesHoldUnderAllFaultsAtOnce() throws Exception {
        try (LabServer server = new LabServer(ConformanceTest.setUp("usual"), 100)) {
            LoadResult result = run(plan(server, 5, 6000, 0.08));
            assertThat(result.examples()).isEmpty();
            assertThat(result.broken()).isZero();
            assertThat(result.ended()).isGreaterThanOrEqualTo(result.begun()).isGreaterThanOrEqualTo(6000);
            assertThat(server.counters.toString()).doesNotContain("guard.").doesNotContain("net.fault");
            assertThat(result.counts().keySet())
                    .as("every kind of fault was drawn")
                    .contains(
                            "fault DROP",
                            "fault STALL",
                            "fault TWICE",
                            "fault FOREIGN",
                            "fault GARBAGE",
                            "fault SLEEP",
                            "fault DRAIN",
                            "fault FAIL",
                            "fault LEAVE",
                            "fault RESUBMIT",
                            "fault HALF");
            assertThat(result.endings().get("WORK_COMPLETE")).isGreaterThan(4000);
        }
    }

    /** Checks the two forms of the report. */
    @Test
    void runIsReportedAsJsonAndAsHtmlPage(@TempDir Path folder) throws Exception {
        try (LabServer server = new LabServer(ConformanceTest.setUp("usual"), 0)) {
            LoadResult result = run(plan(server, 6, 300, 0));
            assertThat(result.json()).contains("\"broken\" : 0", "\"p99.9\"", "\"endings\"");
            String page = LoadPage.html(result);
            assertThat(page).contains("rules broken<td>0", "data:image/png;base64,");
            Path json = folder.resolve("r.json");
            int code = LabMain.run(
                    new String[] {
                        "gearman",
                        "--target",
                        "127.0.0.1:" + server.address().getPort(),
                        "--jobs",
                        "200",
                        "--plan",
                        "plan-x",
                        "--json",
                        json.toString()
                    },
                    new PrintStream(OutputStream.nullOutputStream()),
                    System.err);
            assertThat(code).isZero();
            assertThat(Files.readString(json, StandardCharsets.UTF_8)).contains("\"ended\" : 200");
        }
    }

    /** The audit must detect a server that answers twice, mixes results or loses answers. */
    @Test
    void auditDetectsABrokenServer() throws Exception {
        try (MisbehavingServer server = new MisbehavingServer()) {
            LoadResult result = new LoadRun(new LoadPlan(
                            server.address(),
                            7,
                            1,
                            0,
                            40,
                            0,
                            400,
                            1,
                            1,
                            0,
                            0,
                            ServiceTime.parse("none"),
                            0,
                            "plan-lab",
                            "order-lab",
                            0.3,
                            1))
                    .run(new PrintStream(OutputStream.nullOutputStream()), new LoadRun.ServerMeter(0));
            assertThat(result.counts().keySet())
                    .contains(
                            "broken: no final answer",
                            "broken: a final packet for nothing",
                            "broken: a result that is mixed or another job's");
        }
    }
}
