package plumpost.lab.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.assertj.core.groups.Tuple;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A scale run of a few seconds with a real scheduler; checks counts, not times. */
class ScaleRunIT {
    @Test
    @Timeout(120)
    void aSmallRunServesItsJobsAndMeasuresEachSize() throws Exception {
        ScalePlan plan = ScalePlan.small(1);
        ScaleRun run = new ScaleRun(plan, new PrintStream(OutputStream.nullOutputStream()));
        List<Integer> counts = new ArrayList<>();
        run.run(soFar -> counts.add(soFar.size()));
        assertThat(counts).as("each play is told as it ends").containsExactly(1, 2, 3, 4, 5, 6, 7);
        assertThat(run.measurements())
                .extracting(Measurement::role, Measurement::axis, Measurement::size)
                .containsExactly(
                        tuple(ScaleRun.MODULE, "workers", 5),
                        tuple(ScaleRun.MODULE_WITHOUT_REPORTS, "workers", 5),
                        tuple(ScaleRun.MODULE, "workers", 10),
                        tuple(ScaleRun.MODULE_WITHOUT_REPORTS, "workers", 10),
                        tuple(ScaleRun.SCHEDULER, "workers", 5),
                        tuple(ScaleRun.SCHEDULER, "workers", 10),
                        tuple(ScaleRun.SCHEDULER, "changed lines a second", 20));
        for (Measurement each : run.measurements().subList(4, 6)) {
            assertThat(each.figures().get("jobs_sent")).isPositive();
            assertThat(each.figures().get("jobs_failed")).isZero();
            assertThat(each.figures().get("jobs_served")).isPositive();
            assertThat(each.figures().get("descriptors")).isPositive();
        }
        assertThat(run.measurements().get(6).figures().get("changed_lines")).isPositive();
    }

    private static Tuple tuple(String role, String axis, double size) {
        return Tuple.tuple(role, axis, size);
    }
}
