package plumpost.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import plumpost.Scenario;
import plumpost.config.Json;
import plumpost.config.SettingsReader;
import plumpost.decision.Dispatcher.Effect;
import plumpost.decision.Dispatcher.Settings;

/** Classes over SIGHUP: numbers that stay, classes that come and go, fewer attempts. */
class ClassBookTest {
    /** The scenario's settings with pickup-order gone, route-plan-r2 new and stricter, and two attempts. */
    static final String RETUNED = Scenario.SETTINGS
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

    /** Guards jobs under way and the counts by name: a known name keeps its number, a new one comes after. */
    @Test
    void namesKeepTheirNumbers() {
        Settings first = settings(Scenario.SETTINGS);
        JobClassRegistry book = new JobClassRegistry(first);
        Settings next = settings(RETUNED);
        assertThat(next.classes()).extracting(c -> c.name()).containsExactly("route-plan-r2", "route-plan");
        Settings merged = book.retune(next, 0);
        assertThat(merged.classes())
                .extracting(c -> c.name())
                .containsExactly("route-plan", "pickup-order", "route-plan-r2");
        assertThat(merged.classes().get(2).effect()).isEqualTo(Effect.SINGLE_SHOT);
        assertThat(merged.limits().maxAttempts()).isEqualTo(2);
        assertThat(book.offered("route-plan-r2", 0)).isEqualTo(2);
        assertThat(book.offered("pickup-order", JobClassRegistry.GONE_MS - 1)).isEqualTo(1);
        assertThat(book.offered("pickup-order", JobClassRegistry.GONE_MS)).isEqualTo(-1);
        assertThat(book.offered("nothing", 0)).isEqualTo(-1);
        book.retune(first, 5_000);
        assertThat(book.offered("pickup-order", 5_000)).isEqualTo(1);
        assertThat(book.offered("route-plan-r2", 5_000 + JobClassRegistry.GONE_MS))
                .isEqualTo(-1);
    }

    /** Guards the memory: a stream of files with new names ends in a no that changes nothing. */
    @Test
    void namesAreBounded() {
        JobClassRegistry book = new JobClassRegistry(settings(Scenario.SETTINGS));
        for (int i = 0; i < JobClassRegistry.MOST - 2; i++) {
            book.retune(settings(Scenario.SETTINGS.replace("\"route-plan\"", "\"c" + i + "\"")), i);
        }
        Settings before = book.settings();
        assertThatThrownBy(() -> book.retune(settings(Scenario.SETTINGS.replace("\"route-plan\"", "\"last\"")), 0))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("257 names");
        assertThat(book.settings()).isSameAs(before);
    }

    /** Guards the front and the module on a new class: its jobs are taken by its name and served with its effect. */
    @Test
    void aNewClassIsServedAndAnOldOneEnds() {
        Scenario s = new Scenario(1);
        s.room.retune(settings(RETUNED));
        s.play("""
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
        assertThat(s.counters.of("jobs.failed.route-plan-r2")).isEqualTo(1);
        assertThat(s.counters.of("attempts.out")).isEqualTo(2);
    }

    /** Guards fewer attempts: a job already under way is not tried beyond the new number. */
    @Test
    void fewerAttemptsHoldForJobsUnderWay() {
        Scenario s = new Scenario(1).play("""
            desk1 send POST /route-plan a 8000 x
            wait 2
            """);
        s.room.retune(settings(RETUNED));
        s.play("""
            node1 send returned a
            wait 1000
            node1 send returned a
            wait 1000
            node1 send returned a
            wait 1000
            """);
        assertThat(s.counters.of("attempts.out")).isEqualTo(2);
        assertThat(s.counters.of("guard.attempts")).isZero();
        assertThat(s.counters.of("jobs.refused.route-plan") + s.counters.of("jobs.failed.route-plan"))
                .isEqualTo(1);
    }
}
