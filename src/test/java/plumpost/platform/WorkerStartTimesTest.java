package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.config.Json;
import plumpost.config.NodeListReader;
import plumpost.time.UnixTime;

/** The start times of workers, which lists give in Unix time, while this machine's wall clock steps. */
class WorkerStartTimesTest {
    private static final double HOUR_MS = 3_600_000;

    private double clockMs = 5_000;
    private double wallClockMs = 1_700_000_000_000.0;
    private final List<String> malformed = new ArrayList<>();
    private final NodeListReader reader = new NodeListReader(
            Json.object("settings", "{}".getBytes(StandardCharsets.UTF_8)),
            new WorkerStartTimes(new UnixTime(() -> clockMs, () -> wallClockMs)),
            malformed::add);

    private void advance(double ms) {
        clockMs += ms;
        wallClockMs += ms;
    }

    private double startedAt(String born) {
        String list = "{\"seq\":1,\"hosts\":[{\"host\":\"w\",\"dial\":\"127.0.0.1:1\",\"health\":\"up\",\"born_ms\":"
                + born + "}]}";
        var lines = reader.read(Json.object("list", list.getBytes(StandardCharsets.UTF_8)))
                .lines();
        assertThat(lines).as("the line counts, whatever its time").hasSize(1);
        return lines.get(0).entry().cameUpMs();
    }

    private String bornMs(double ms) {
        return Long.toString((long) ms);
    }

    /** Guards slow start: a clock step during a worker's slow start neither ends nor restarts it. */
    @ParameterizedTest
    @ValueSource(doubles = {HOUR_MS, -HOUR_MS, 5_000, -5_000})
    void aClockStepDuringSlowStartHasNoEffect(double stepMs) {
        String born = bornMs(wallClockMs);
        double startedAtMs = startedAt(born);
        assertThat(startedAtMs).isEqualTo(clockMs);
        advance(1_000);
        wallClockMs += stepMs;
        assertThat(startedAt(born)).isEqualTo(startedAtMs);
    }

    /** Guards the same for a start that is first listed after the step: the worker counts as cold as it may be. */
    @ParameterizedTest
    @ValueSource(doubles = {HOUR_MS, -HOUR_MS})
    void aStartReportedAfterAClockStepStillCountsAsCold(double stepMs) {
        String born = bornMs(wallClockMs);
        wallClockMs += stepMs;
        advance(1_000);
        assertThat(startedAt(born)).isBetween(clockMs - 1_200, clockMs);
    }

    /** Guards against malformed input: an impossible time is reported with its value, and the rest of the line still counts. */
    @ParameterizedTest
    @ValueSource(strings = {"-5", "1e300"})
    void anImpossibleStartTimeIsReportedAndTheLineStillCounts(String born) {
        assertThat(startedAt(born)).isZero();
        assertThat(malformed).singleElement().asString().contains("born_ms of w is");
    }

    /** Guards against workers that stay cold forever: a start in the future counts as now, one years ago as long ago. */
    @Test
    void startTimesInTheFutureAndYearsAgoAreLimited() {
        assertThat(startedAt(bornMs(wallClockMs + 48 * HOUR_MS))).isEqualTo(clockMs);
        assertThat(startedAt("1")).isLessThan(clockMs - HOUR_MS);
        assertThat(startedAt("0")).isZero();
    }
}
