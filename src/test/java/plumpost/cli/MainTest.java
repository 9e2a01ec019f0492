package plumpost.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.config.NodeConfig;
import plumpost.platform.WarmUp;

/** Tests the command line and the configuration that it reads. */
class MainTest {
    private static final Path SAMPLE = Path.of("deploy/gearman.json");

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... arguments) throws IOException {
        return Main.run(
                arguments,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    /** A bad command line prints one line on standard error and returns 2. */
    @ParameterizedTest
    @ValueSource(strings = {"", "fly", "serve --wings", "serve now", "check", "check --config /nowhere", "serve -c"})
    void badArgumentsPrintOneLineAndReturn2(String line) throws IOException {
        assertThat(run(line.isEmpty() ? new String[0] : line.split(" "))).isEqualTo(2);
        assertThat(err.toString(StandardCharsets.UTF_8))
                .startsWith("plumpost: ")
                .hasLineCount(1);
    }

    /** Each fault of a configuration is named in one line; {@code old} is replaced by {@code replacement} in the sample file. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '~',
            value = {
                "{ ~ ~ is not JSON",
                "\"seed\": \"1\"~\"seed\": \"z\"~seed",
                "\"127.0.0.1:8000\"~\"desk:8000\"~listen is not an address",
                "127.0.0.1:8000~999.0.0.1:8000~not an address",
                "\"deadlineMs\": 8000.0~\"deadlineMs\": -1~class",
                "\"sockets\": 1024~\"sockets\": 3~limits.sockets",
                "\"plant\": \"plant-1\"~\"plant\": \"x\"~gearman.plant",
                "\"effect\": \"free\"~\"effect\": \"fluid\"~effect"
            })
    void badConfigurationIsNamedInOneLine(String old, String replacement, String expected) throws IOException {
        String text = Files.readString(SAMPLE).replace(old.strip(), replacement == null ? "" : replacement);
        Path file = Files.writeString(folder.resolve("c.json"), text);
        assertThat(run("check", "--config", file.toString())).isEqualTo(2);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains(expected).hasLineCount(1);
    }

    /** The command rehearse, from which the build makes the class archive, serves a request and ends by itself. */
    @Test
    @Timeout(20)
    void rehearseServesARequestAndEnds() throws IOException {
        assertThat(run("rehearse", "-c", SAMPLE.toString())).isZero();
    }

    /** The granularity includes the delay of links, so that an order whose connection is being verified still counts as prompt. */
    @Test
    void granularityIncludesTheLinkDelay() {
        NodeConfig config = NodeConfig.read(SAMPLE, java.util.Map.of());
        assertThat(config.settings().granularityMs())
                .isEqualTo(config.rawSettings().number("granularityMs") + 2.5);
    }

    /** The sample configuration in the repository is valid, and the warm-up serves all its jobs with it. */
    @Test
    void theSampleConfigurationIsValid() throws IOException {
        assertThat(run("check", "-c", SAMPLE.toString())).isZero();
        assertThat(run("version")).isZero();
        assertThat(WarmUp.run(NodeConfig.read(SAMPLE, java.util.Map.of()))).isEqualTo(20);
    }
}
