package plumpost.time;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** An exception in one timer must not keep the others from running: a deadline would pass without an answer. */
class TimerFaultsTest {
    @Test
    void otherTimersOfATickRunWhenOneThrows() {
        TimerWheel wheel = new TimerWheel(0);
        List<String> ran = new ArrayList<>();
        wheel.schedule(10, () -> ran.add("before"));
        wheel.schedule(10, () -> {
            throw new IllegalStateException("of one timer");
        });
        wheel.schedule(10, () -> ran.add("after"));
        wheel.schedule(20, () -> ran.add("later"));
        assertThatThrownBy(() -> wheel.advanceTo(30)).hasMessage("of one timer");
        wheel.advanceTo(30);
        assertThat(ran).containsExactly("before", "after", "later");
    }
}
