package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks that FleetCheck reports every violation in a history and none in a history without violations. */
class FleetCheckTest {
    private final History history = new History();

    private void addScheduledJob(String key, String function, int runs) {
        history.add("s1", "function", key + " " + function);
        history.add("s1", "handle", key + " H:" + key);
        history.add("s1", "taken", key);
        for (int i = 0; i < runs; i++) {
            history.add("s2", "run", key);
        }
    }

    @Test
    void historyWithoutViolationsPasses() {
        history.add("s1", "start", "1");
        history.add("s1", "log", "s1: fleet: schedule under fence 4 is s1's, incarnation 2, was s2's");
        history.add("s2", "log", "s2: fleet: schedule under fence 4 is s1's, incarnation 2, was s2's");
        history.add("s2", "log", "s2: fleet: schedule under fence 4 is nobody's, was s1's");
        history.add("s2", "log", "s2: fleet: schedule under fence 5 is s2's, incarnation 9");
        history.add("s1", "start", "2"); // a restarted process reads the log from the beginning
        history.add("s1", "log", "s1: fleet: schedule under fence 4 is s1's, incarnation 2, was s2's");
        addScheduledJob("a", "order-lab", 1);
        addScheduledJob("b", "plan-lab", 2);
        addScheduledJob("c", "order-lab", 0);
        assertThat(FleetCheck.findViolations(history, Set.of("H:c"))).isEmpty();
    }

    @Test
    void everyViolationIsReported() {
        addScheduledJob("twice", "order-lab", 2);
        addScheduledJob("lost", "plan-lab", 0);
        history.add("s1", "log", "s1: fleet: schedule under fence 4 is s1's, incarnation 2, was s2's");
        history.add("s2", "log", "s2: fleet: schedule under fence 4 is s2's, incarnation 3, was s1's");
        history.add("s1", "log", "s1: fleet: schedule under fence 3 is s3's, incarnation 1, was s1's");
        history.add("s3", "stuck", "it does not end");
        // A job that was given up does not excuse another job that never ran.
        assertThat(FleetCheck.findViolations(history, Set.of("H:twice")))
                .anySatisfy(b -> assertThat(b).contains("order twice ran 2 times"))
                .anySatisfy(b -> assertThat(b).contains("job lost, H:lost, was taken, never ran"))
                .anySatisfy(b -> assertThat(b).contains("fence 4 is schedule s1#2 and schedule s2#3"))
                .anySatisfy(b -> assertThat(b).contains("fence 3 follows 4"))
                .anySatisfy(b -> assertThat(b).contains("it does not end"))
                .hasSize(5);
        assertThat(FleetCheck.ownersByFence(history).keySet()).isEqualTo(Set.copyOf(List.of(4L, 3L)));
    }
}
