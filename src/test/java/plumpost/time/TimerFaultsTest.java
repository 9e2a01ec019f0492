package plumpost.time;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** An exception or error in one timer must not keep the others from running: a deadline would pass without an answer. */
class TimerFaultsTest {
    private static void fail(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    private static List<Throwable> failures() {
        return List.of(new IllegalStateException("of one timer"), new OutOfMemoryError("of one timer"));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void otherTimersOfATickRunWhenOneThrows(Throwable failure) {
        TimerWheel wheel = new TimerWheel(0);
        List<String> ran = new ArrayList<>();
        wheel.schedule(10, () -> ran.add("before"));
        wheel.schedule(10, () -> fail(failure));
        wheel.schedule(10, () -> ran.add("after"));
        wheel.schedule(20, () -> ran.add("later"));
        assertThatThrownBy(() -> wheel.advanceTo(30)).hasMessage("of one timer");
        wheel.advanceTo(30);
        assertThat(ran).containsExactly("before", "after", "later");
    }
}
