package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The checker finds each break of a rule in a history that holds it, and none in one that keeps them. */
class FleetCheckTest {
    private final History history = new History();

    private void planned(String key, String function, int runs) {
        history.add("s1", "function", key + " " + function);
        history.add("s1", "handle", key + " H:" + key);
        history.add("s1", "taken", key);
        for (int i = 0; i < runs; i++) {
            history.add("s2", "run", key);
        }
    }

    @Test
    void aHistoryThatKeepsTheRulesPasses() {
        history.add("s1", "start", "1");
        history.add("s1", "log", "s1: fleet: schedule under fence 4 is s1's, incarnation 2, was s2's");
        history.add("s2", "log", "s2: fleet: schedule under fence 4 is s1's, incarnation 2, was s2's");
        history.add("s2", "log", "s2: fleet: schedule under fence 4 is nobody's, was s1's");
        history.add("s2", "log", "s2: fleet: schedule under fence 5 is s2's, incarnation 9");
        history.add("s1", "start", "2"); // a new process reads the log again
        history.add("s1", "log", "s1: fleet: schedule under fence 4 is s1's, incarnation 2, was s2's");
        planned("a", "order-lab", 1);
        planned("b", "plan-lab", 2);
        planned("c", "order-lab", 0);
        assertThat(FleetCheck.broken(history, Set.of("H:c"))).isEmpty();
    }

    @Test
    void eachBreakIsFound() {
        planned("twice", "order-lab", 2);
        planned("lost", "plan-lab", 0);
        history.add("s1", "log", "s1: fleet: schedule under fence 4 is s1's, incarnation 2, was s2's");
        history.add("s2", "log", "s2: fleet: schedule under fence 4 is s2's, incarnation 3, was s1's");
        history.add("s1", "log", "s1: fleet: schedule under fence 3 is s3's, incarnation 1, was s1's");
        history.add("s3", "stuck", "it does not end");
        // That another job is given up excuses nothing.
        assertThat(FleetCheck.broken(history, Set.of("H:twice")))
                .anySatisfy(b -> assertThat(b).contains("order twice ran 2 times"))
                .anySatisfy(b -> assertThat(b).contains("job lost, H:lost, was taken, never ran"))
                .anySatisfy(b -> assertThat(b).contains("fence 4 is schedule s1#2 and schedule s2#3"))
                .anySatisfy(b -> assertThat(b).contains("fence 3 follows 4"))
                .anySatisfy(b -> assertThat(b).contains("it does not end"))
                .hasSize(5);
        assertThat(FleetCheck.owners(history).keySet()).isEqualTo(Set.copyOf(List.of(4L, 3L)));
    }
}
