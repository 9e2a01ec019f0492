package plumpost.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import plumpost.benchlink.SimulatorHost;
import plumpost.config.Json.BadInput;

/** JSON objects that name a field twice: no reader takes one of the two values. */
class DuplicateNamesTest {
    private static final String TWICE = "{\"a\":{\"b\":1,\"c\":2,\"b\":3}}";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void aWholeObjectWithANameTwiceIsRejectedByItsName() {
        assertThatThrownBy(() -> Json.object("settings", bytes(TWICE)))
                .isInstanceOf(BadInput.class)
                .hasMessage("settings is not JSON: Duplicate field 'b'");
        assertThat(Json.object("settings", bytes("{\"a\":{\"b\":1},\"c\":{\"b\":1}}"))
                        .map())
                .hasSize(2);
    }

    @Test
    void aStreamedObjectWithANameTwiceIsRejectedHoweverItIsSplit() {
        for (int cut = 0; cut < TWICE.length(); cut++) {
            JsonObjectStream stream = new JsonObjectStream("a list", 1_000);
            byte[] first = bytes(TWICE.substring(0, cut));
            byte[] second = bytes(TWICE.substring(cut));
            assertThatThrownBy(() -> {
                        stream.feed(first, (fields, text) -> {});
                        stream.feed(second, (fields, text) -> {});
                    })
                    .isInstanceOf(BadInput.class)
                    .hasMessage("a list is not JSON: Duplicate field 'b'");
        }
    }

    @Test
    void aLoadReportWithANameTwiceIsRejected() {
        assertThatThrownBy(() -> LoadReports.parsePairs("queue=1,inflight=2,queue=3"))
                .isInstanceOf(BadInput.class);
    }

    @Test
    void aSimulatorsMessageWithANameTwiceIsRejected() throws IOException {
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        SimulatorHost host = new SimulatorHost(
                new ByteArrayInputStream(bytes(TWICE)),
                new ByteArrayOutputStream(),
                new PrintStream(errors, true, StandardCharsets.UTF_8));
        assertThat(host.run()).isEqualTo(1);
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("Duplicate field");
    }
}
