package plumpost.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests files read at SIGHUP: a broken one is rejected as a whole, with a message that names the fault. */
class SighupFilesTest {
    private static final String GOOD = """
        {"name":"n0","listen":"127.0.0.1:8000","ops":"127.0.0.1:9600","limits":{"memory_mb":144,"sockets":384},
         "settings":{"balancers":2,"granularityMs":2.0,
          "classes":[{"name":"route-plan","sloMs":600.0,"deadlineMs":8000.0,"effect":"free"},
                     {"name":"pickup-order","sloMs":400.0,"deadlineMs":20000.0,"effect":"single_shot"}],
          "ceilings":{"maxAttempts":6,"dialTimeoutMs":250.0},
          "rules":{"coldMs":1000.0,"stopSendingWithinMs":400.0}}}""";

    private static Json.Fields json(String text) {
        return Json.object("configuration", text.getBytes(StandardCharsets.UTF_8));
    }

    /** New classes and a lower number of attempts are applied. */
    @Test
    void aGoodFileIsApplied() {
        String changed = GOOD.replace("\"maxAttempts\":6", "\"maxAttempts\":2")
                .replace(
                        "]",
                        ",{\"name\":\"route-plan-r2\",\"sloMs\":600.0,\"deadlineMs\":8000.0,\"effect\":\"single_shot\"}]");
        NodeConfig config = NodeConfig.reload(json(GOOD), json(changed), Map.of());
        assertThat(config.settings().classes()).hasSize(3);
        assertThat(config.settings().limits().maxAttempts()).isEqualTo(2);
    }

    /** Each kind of broken file is rejected as a whole, and the message names the fault. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "                                                        | empty",
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:8000\",\"settings\":{\"classes\":[ | it ends in the middle",
                "\"maxAttempts\":6,=                                     | settings.ceilings.maxAttempts is missing",
                "\"deadlineMs\":8000.0,=                                 | settings.classes[0].deadlineMs is missing",
                "\"ops\":\"127.0.0.1:9600\",=                            | key ops is missing",
                "\"deadlineMs\":8000.0=\"deadlineMs\":0                  | times of class route-plan",
                "\"deadlineMs\":20000.0=\"deadlineMs\":-5                | times of class pickup-order",
                "\"maxAttempts\":6=\"maxAttempts\":0                     | maxAttempts must be at least 1",
                "\"maxAttempts\":6=\"maxAttempts\":-2                    | maxAttempts must be at least 1",
            })
    void aBrokenFileIsRejected(String change, String message) {
        String broken;
        if (change == null) {
            broken = "";
        } else if (!change.contains("=")) {
            broken = change;
        } else {
            String[] parts = change.split("=", 2);
            broken = GOOD.replace(parts[0], parts[1]);
            assertThat(broken).isNotEqualTo(GOOD);
        }
        assertThatThrownBy(() -> NodeConfig.reload(json(GOOD), json(broken), Map.of()))
                .isInstanceOf(Json.BadInput.class)
                .hasMessageContaining(message.strip());
    }
}
