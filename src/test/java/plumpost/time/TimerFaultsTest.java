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
        wheel.at(10, () -> ran.add("before"));
        wheel.at(10, () -> {
            throw new IllegalStateException("of one timer");
        });
        wheel.at(10, () -> ran.add("after"));
        wheel.at(20, () -> ran.add("later"));
        assertThatThrownBy(() -> wheel.turnTo(30)).hasMessage("of one timer");
        wheel.turnTo(30);
        assertThat(ran).containsExactly("before", "after", "later");
    }
}
