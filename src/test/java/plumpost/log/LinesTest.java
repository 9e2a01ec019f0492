package plumpost.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.slf4j.event.Level;
import plumpost.config.Json;

/** The lines of the log. */
class LinesTest {
    /** Guards both forms: text as it always was, and one JSON object a line whatever the words hold. */
    @Test
    void aLineIsTextOrOneObject() {
        assertThat(Lines.line("n1", false, Level.INFO, "l", "ready, http", null))
                .isEqualTo("n1: ready, http");
        String line = Lines.line("n1", true, Level.WARN, "l", "a \"quoted\"\nline", new IllegalStateException("x"));
        assertThat(line).doesNotContain("\n");
        Json.Fields f = Json.object("line", line.getBytes(StandardCharsets.UTF_8));
        assertThat(f.text("message")).isEqualTo("a \"quoted\"\nline");
        assertThat(f.text("level")).isEqualTo("WARN");
        assertThat(f.text("name")).isEqualTo("n1");
        assertThat(f.text("thrown")).contains("IllegalStateException");
    }
}
