package plumpost.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The section {@code log} of a configuration. */
class LogConfigTest {
    private static LogConfig read(String section) {
        return LogConfig.read(Json.object("configuration.log", section.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void requestsAreLoggedAtLevelDebugOnly() {
        assertThat(read("{}")).isEqualTo(new LogConfig("text", false, 500));
        assertThat(read("{\"level\":\"debug\",\"format\":\"json\",\"requestLinesPerSecond\":20}"))
                .isEqualTo(new LogConfig("json", true, 20));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"level\":\"loud\"}|field level is loud, not info or debug",
                "{\"format\":\"xml\"}|field format is xml, not text or json",
                "{\"requestLinesPerSecond\":0}|field requestLinesPerSecond is 0.0, not a whole number from 1 to 1000000",
            })
    void aWrongValueIsNamedWithItsField(String section, String message) {
        assertThatThrownBy(() -> read(section)).hasMessageContaining(message);
    }
}
