package plumpost.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.slf4j.event.Level;
import plumpost.config.Json;

/** Tests the format of log lines. */
class LinesTest {
    /** Checks both formats: plain text, and one JSON object per line whatever characters the message contains. */
    @Test
    void lineIsPlainTextOrOneJsonObject() {
        assertThat(Lines.line("n1", false, Level.INFO, "l", "ready, http", null))
                .isEqualTo("n1: ready, http");
        String line = Lines.line("n1", true, Level.WARN, "l", "a \"quoted\"\nline", new IllegalStateException("x"));
        assertThat(line).doesNotContain("\n");
        Json.Fields fields = Json.object("line", line.getBytes(StandardCharsets.UTF_8));
        assertThat(fields.text("message")).isEqualTo("a \"quoted\"\nline");
        assertThat(fields.text("level")).isEqualTo("WARN");
        assertThat(fields.text("name")).isEqualTo("n1");
        assertThat(fields.text("thrown")).contains("IllegalStateException");
    }
}
