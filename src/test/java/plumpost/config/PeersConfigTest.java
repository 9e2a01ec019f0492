package plumpost.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import plumpost.config.Json.BadInput;

/** Tests the section {@code peers}: faults are reported with field and value. */
class PeersConfigTest {
    private static final String GOOD = "{\"group\":\"g\",\"data\":\"d\",\"members\":[{\"name\":\"a\",\"address\":"
            + "\"127.0.0.1:1\",\"site\":\"n\",\"vote\":true},{\"name\":\"b\",\"address\":\"127.0.0.1:2\"}]}";

    private static PeersConfig read(String text) {
        return PeersConfig.read(Json.object("peers", text.getBytes(StandardCharsets.UTF_8)), "a", null, false);
    }

    @Test
    void defaultsApplyWhereNothingIsGiven() {
        PeersConfig config = read(GOOD);
        assertThat(config.sessionTimeoutMs()).isEqualTo(1500);
        assertThat(config.covered().classes())
                .as("no class is covered by default")
                .isEmpty();
        assertThat(config.self().vote()).isTrue();
        assertThat(config.voters()).extracting(PeersConfig.Member::name).containsExactly("a");
        assertThat(PeersConfig.read(Json.object("peers", GOOD.getBytes(StandardCharsets.UTF_8)), "b", "/x", true)
                        .data())
                .isEqualTo(Path.of("/x"));
    }

    /** A fleet of 1,024 members is accepted, and one of 1,025 is rejected. */
    @Test
    void upTo1024MembersAreAccepted() {
        StringBuilder more = new StringBuilder();
        for (int i = 3; i <= 1024; i++) {
            more.append(",{\"name\":\"m")
                    .append(i)
                    .append("\",\"address\":\"127.0.0.1:")
                    .append(i)
                    .append("\"}");
        }
        assertThat(read(GOOD.replace("]}", more + "]}")).members()).hasSize(1024);
        String oneMore = GOOD.replace("]}", more + ",{\"name\":\"z\",\"address\":\"127.0.0.1:1\"}]}");
        assertThatThrownBy(() -> read(oneMore)).hasMessageContaining("field members has 1025 members, at most 1024");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"name\":\"b\"|\"name\":\"a\"|field name is a, which another member bears",
                "\"name\":\"b\"|\"name\":\"b c\"|field name is b c, not 1 to 64 letters",
                "\"name\":\"a\"|\"name\":\"z\"|does not name this scheduler, a",
                "\"vote\":true|\"vote\":false|gives 0 a vote, not 1, 3 or 5",
                "127.0.0.1:2|127.0.0.1:x|members[1].address is not an address and port: 127.0.0.1:x",
                "\"data\":\"d\"|\"data\":\"\"|field data is empty",
                "\"group\"|\"lostMs\":9,\"group\"|field lostMs is 9, not from 200 to 600000",
                "\"group\"|\"beatMs\":900,\"group\"|field beatMs is 900, not from 10 to 500",
                "\"group\"|\"covers\":[\"x\",7],\"group\"|field covers holds 7, not names of classes",
                "\"group\"|\"covers\":[\"x\",\"x\"],\"group\"|field covers holds x, not names of classes, each once",
                "\"group\"|\"awaitMs\":9,\"group\"|field awaitMs is 9, not from 100 to 3600000",
                "\"group\"|\"gruop\"|field gruop is not a setting"
            })
    void faultsAreReportedWithFieldAndValue(String from, String to, String message) {
        assertThatThrownBy(() -> read(GOOD.replace(from, to)))
                .isInstanceOf(BadInput.class)
                .hasMessageContaining(message);
    }
}
