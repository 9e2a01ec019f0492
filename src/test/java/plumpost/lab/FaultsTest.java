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

/** The laboratory's load with faults against a front on loopback, audited; the long run of it is in docs/gearman.md. */
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

    /** Guards the rules with all faults at once: one final answer each, no order twice, no results mixed, drains kept. */
    @Test
    void theRulesHoldUnderAllFaultsAtOnce() throws Exception {
        try (LabServer server = new LabServer(ConformanceTest.setUp("usual"), 100)) {
            LoadResult r = run(plan(server, 5, 6000, 0.08));
            assertThat(r.examples()).isEmpty();
            assertThat(r.broken()).isZero();
            assertThat(r.ended()).isGreaterThanOrEqualTo(r.begun()).isGreaterThanOrEqualTo(6000);
            assertThat(server.counters.toString()).doesNotContain("guard.").doesNotContain("net.fault");
            assertThat(r.counts().keySet())
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
            assertThat(r.endings().get("WORK_COMPLETE")).isGreaterThan(4000);
        }
    }

    /** Guards the report's two forms. */
    @Test
    void aRunIsReportedAsJsonAndAsAPage(@TempDir Path folder) throws Exception {
        try (LabServer server = new LabServer(ConformanceTest.setUp("usual"), 0)) {
            LoadResult r = run(plan(server, 6, 300, 0));
            assertThat(r.json()).contains("\"broken\" : 0", "\"p99.9\"", "\"endings\"");
            String page = LoadPage.html(r);
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

    /** Guards the audit itself: a front that answers twice, mixes results or loses answers must be told. */
    @Test
    void theAuditFindsABrokenServer() throws Exception {
        try (LyingServer server = new LyingServer()) {
            LoadResult r = new LoadRun(new LoadPlan(
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
            assertThat(r.counts().keySet())
                    .contains(
                            "broken: no final answer",
                            "broken: a final packet for nothing",
                            "broken: a result that is mixed or another job's");
        }
    }
}
