package plumpost.lab.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import plumpost.config.Json.BadInput;
import plumpost.lab.LabMain;

/** Checks that the capacity page matches its measurements and that bad arguments are reported. */
class CapacityPageTest {
    /** The page must contain no figures other than those of its measurements. */
    @Test
    void pageTablesMatchItsMeasurements() throws IOException {
        List<Measurement> measured = Measurement.read(Files.readAllBytes(Path.of("docs/capacity.json")));
        String page = Files.readString(Path.of("docs/CAPACITY.md"));
        assertThat(new CapacityPage(measured).write(page)).isEqualTo(page);
    }

    @Test
    void measurementsSurviveWritingAndReading() throws IOException {
        List<Measurement> some = List.of(
                new Measurement("a", "workers", 20, 0, true, Map.of("us_per_job", 1.5)),
                new Measurement("a", "workers", 200, 1, false, Map.of()));
        byte[] json = Measurement.json(some, true).getBytes(StandardCharsets.UTF_8);
        assertThat(Measurement.read(json)).isEqualTo(some);
        assertThat(new String(json, StandardCharsets.UTF_8)).contains("\"partial\":true");
    }

    /** Measurements with the laboratory as the bottleneck must not be counted. */
    @Test
    void invalidMeasurementsAreLeftOut() {
        String page = "<!-- begin measured -->\n<!-- end measured -->\n<!-- begin slopes -->\n<!-- end slopes -->\n"
                + "<!-- begin limits -->\n<!-- end limits -->\n";
        String written = new CapacityPage(List.of(
                        new Measurement(ScaleRun.SCHEDULER, "workers", 17_000, 0, true, Map.of("cpu_percent", 8.0)),
                        new Measurement(ScaleRun.SCHEDULER, "workers", 17_000, 1, false, Map.of("cpu_percent", 99.0))))
                .write(page);
        assertThat(written)
                .contains("| cpu_percent | 4.0 | 8.0 (8.0 to 8.0) | 2.00 |")
                .doesNotContain("99");
        assertThatThrownBy(() -> new CapacityPage(List.of()).write("no tables"))
                .isInstanceOf(BadInput.class)
                .hasMessageContaining("no place for the table measured");
    }

    @Test
    void descriptorLimitIsReadFromProcLimits() {
        assertThat(ScaleMain.descriptorsAllowed(List.of(
                        "Max processes 5 5", "Max open files            1024                 4096        files")))
                .isEqualTo(1024);
        assertThat(ScaleMain.descriptorsAllowed(List.of("Max open files   unlimited unlimited files")))
                .isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void badArgumentsAreReported() throws IOException {
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        PrintStream err = new PrintStream(errors, true, StandardCharsets.UTF_8);
        assertThat(LabMain.run(new String[] {"scale", "--seed", "x"}, System.out, err))
                .isEqualTo(2);
        assertThat(LabMain.run(new String[] {"scale", "--sise", "4"}, System.out, err))
                .isEqualTo(2);
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("--seed is x, not a whole number", "--sise");
        assertThat(LabMain.run(new String[] {"scale", "--help"}, System.out, err))
                .isZero();
    }
}
