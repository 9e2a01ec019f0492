package plumpost.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import plumpost.Scenario;
import plumpost.config.Json;
import plumpost.config.SettingsReader;
import plumpost.decision.Dispatcher.Effect;
import plumpost.decision.Dispatcher.Settings;

/** Tests job classes across SIGHUP: stable numbers, added and removed classes, and a lower attempt limit. */
class JobClassRegistryTest {
    /** The scenario's settings without pickup-order, with a new single-shot class route-plan-r2 and two attempts. */
    static final String CHANGED_SETTINGS = Scenario.SETTINGS
            .replace("{\"name\":\"route-plan\",", "{\"name\":\"route-plan-r2\",")
            .replace(
                    "\"effect\":\"free\"}",
                    "\"effect\":\"single_shot\"},{\"name\":\"route-plan\",\"sloMs\":600.0,"
                            + "\"deadlineMs\":8000.0,\"effect\":\"free\"}")
            .replace(
                    ",\n{\"name\":\"pickup-order\",\"sloMs\":400.0,\"deadlineMs\":20000.0,\"effect\":\"single_shot\","
                            + "\"importance\":10.0}",
                    "")
            .replace("\"maxAttempts\":6", "\"maxAttempts\":2");

    static Settings settings(String text) {
        return SettingsReader.settings(Json.object("settings", text.getBytes(StandardCharsets.UTF_8)));
    }

    /** A known name keeps its number, on which open jobs and counters depend; a new one is numbered after the others. */
    @Test
    void classesKeepTheirNumbers() {
        Settings first = settings(Scenario.SETTINGS);
        JobClassRegistry registry = new JobClassRegistry(first);
        Settings next = settings(CHANGED_SETTINGS);
        assertThat(next.classes()).extracting(c -> c.name()).containsExactly("route-plan-r2", "route-plan");
        Settings merged = registry.retune(next, 0);
        assertThat(merged.classes())
                .extracting(c -> c.name())
                .containsExactly("route-plan", "pickup-order", "route-plan-r2");
        assertThat(merged.classes().get(2).effect()).isEqualTo(Effect.SINGLE_SHOT);
        assertThat(merged.limits().maxAttempts()).isEqualTo(2);
        assertThat(registry.findOffered("route-plan-r2", 0)).isEqualTo(2);
        assertThat(registry.findOffered("pickup-order", JobClassRegistry.REMOVED_CLASS_GRACE_MS - 1))
                .isEqualTo(1);
        assertThat(registry.findOffered("pickup-order", JobClassRegistry.REMOVED_CLASS_GRACE_MS))
                .isEqualTo(-1);
        assertThat(registry.findOffered("nothing", 0)).isEqualTo(-1);
        registry.retune(first, 5_000);
        assertThat(registry.findOffered("pickup-order", 5_000)).isEqualTo(1);
        assertThat(registry.findOffered("route-plan-r2", 5_000 + JobClassRegistry.REMOVED_CLASS_GRACE_MS))
                .isEqualTo(-1);
    }

    /**
     * A series of files with ever new names must not exhaust memory: it ends in a rejection that changes nothing, but not before
     * the 1,024 names that the users' terms grant a list.
     */
    @Test
    void numberOfClassesIsBounded() {
        JobClassRegistry registry = new JobClassRegistry(settings(Scenario.SETTINGS));
        for (int i = 0; i < 1_024 - 2; i++) {
            registry.retune(settings(Scenario.SETTINGS.replace("\"route-plan\"", "\"c" + i + "\"")), i);
        }
        Settings before = registry.settings();
        assertThatThrownBy(() -> registry.retune(settings(Scenario.SETTINGS.replace("\"route-plan\"", "\"last\"")), 0))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("1025 names");
        assertThat(registry.settings()).isSameAs(before);
        String tooMany = IntStream.range(0, 1_023)
                .mapToObj(i -> "{\"name\":\"c" + i + "\",\"sloMs\":1.0,\"deadlineMs\":8000.0,\"effect\":\"free\"}")
                .collect(Collectors.joining(",", "\"classes\":[", ","));
        assertThatThrownBy(() -> settings(Scenario.SETTINGS.replace("\"classes\":[", tooMany)))
                .hasMessageContaining("classes must not be more than 1024, not 1025");
    }

    /** Jobs of a new class are accepted by name and follow its effect; a removed class is rejected after its grace period. */
    @Test
    void newClassIsServedAndRemovedClassIsRejected() {
        Scenario scenario = new Scenario(1);
        scenario.core.retune(settings(CHANGED_SETTINGS));
        scenario.play("""
            desk2 send POST /pickup-order b 20000 y
            node1 expect POST /pickup-order b y
            node1 send done b van
            desk2 expect 200 van
            desk1 send POST /route-plan-r2 a 8000 x
            wait 6
            node1 expect POST /route-plan-r2 a x
            node1 close
            desk1 expect 500
            wait 2000
            desk3 send POST /pickup-order c 20000 y
            desk3 expect 404 *
            """);
        assertThat(scenario.counters.get("jobs.failed.route-plan-r2")).isEqualTo(1);
        assertThat(scenario.counters.get("attempts.out")).isEqualTo(2);
    }

    /** An open job gets no more attempts than the lowered limit allows. */
    @Test
    void lowerAttemptLimitAppliesToOpenJobs() {
        Scenario scenario = new Scenario(1).play("""
            desk1 send POST /route-plan a 8000 x
            wait 2
            """);
        scenario.core.retune(settings(CHANGED_SETTINGS));
        scenario.play("""
            node1 send returned a
            wait 1000
            node1 send returned a
            wait 1000
            node1 send returned a
            wait 1000
            """);
        assertThat(scenario.counters.get("attempts.out")).isEqualTo(2);
        assertThat(scenario.counters.get("guard.attempts")).isZero();
        assertThat(scenario.counters.get("jobs.refused.route-plan") + scenario.counters.get("jobs.failed.route-plan"))
                .isEqualTo(1);
    }
}
