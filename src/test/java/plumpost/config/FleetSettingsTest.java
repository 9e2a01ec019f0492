package plumpost.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.decision.Dispatcher;

/** Tests the settings on the size of the fleet: absent ones have defined defaults, invalid ones are rejected by name. */
class FleetSettingsTest {
    private static Dispatcher.Settings settings(String fleet) {
        String file = """
            {"listen":"127.0.0.1:8000","settings":{%s "classes":[
              {"name":"route-plan","sloMs":600.0,"deadlineMs":8000.0,"effect":"free"}],
              "ceilings":{"maxAttempts":6},"rules":{}}}""".formatted(fleet);
        Json.Fields fields = Json.object("configuration", file.getBytes(StandardCharsets.UTF_8));
        return NodeConfig.from(fields, Map.of()).settings();
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "-14"})
    void fewerThanOneSchedulerIsRefused(String balancers) {
        assertThatThrownBy(() -> settings("\"balancers\":" + balancers + ","))
                .isInstanceOf(Json.BadInput.class)
                .hasMessageContaining("balancers must be at least 1");
    }

    /** Without settings on the fleet there is one scheduler, one plant, one model and no rule for cold nodes. */
    @Test
    void withoutFleetSettingsThereIsOneScheduler() {
        Dispatcher.Settings alone = settings("");
        assertThat(alone.balancers()).isEqualTo(1);
        assertThat(alone.zones()).isEqualTo(1);
        assertThat(alone.kinds()).isEqualTo(1);
        assertThat(alone.rules().coldMs()).isZero();
    }

    @Test
    void withoutPlantNamesThereIsOnePlant() {
        assertThat(settings("\"balancers\":100,\"dcs\":[],\"shapes\":[],").zones())
                .isEqualTo(1);
    }
}
