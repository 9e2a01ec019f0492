package plumpost.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.ListMode;
import plumpost.decision.Dispatcher.LoadReport;
import plumpost.decision.Dispatcher.Phase;
import plumpost.decision.Dispatcher.WorkerEntry;

/** Many schedulers side by side that share a list of workers and nothing else: what they do together. */
class FleetTest {
    private static final int SCHEDULERS = 14;
    private static final int WORKERS = 60;
    private static final int PLANTS = 3;

    private final List<Recorder> outs = new ArrayList<>();
    private final List<Logic> fleet = new ArrayList<>();
    private final Map<String, WorkerEntry> workers = new LinkedHashMap<>();

    @BeforeEach
    void start() {
        for (int i = 0; i < WORKERS; i++) {
            String id = "w" + i;
            workers.put(id, new WorkerEntry(id, i % PLANTS, 0, 0, Phase.SERVING, 1, 0));
        }
        for (int i = 0; i < SCHEDULERS; i++) {
            Bench bench = new Bench();
            bench.balancers = SCHEDULERS;
            bench.index = i;
            bench.zone = i % PLANTS;
            bench.zones = PLANTS;
            bench.crossZone = 0.03;
            bench.reports = Dispatcher.Reports.PULL;
            outs.add(new Recorder());
            fleet.add(new Logic(bench.settings(), 100 + i, outs.get(i)));
            fleet.get(i).workers(0, ListMode.SAVED, List.copyOf(workers.values()));
        }
    }

    /** Answers every probe that is out with so many free slots, until none is asked any more. */
    private List<String> answerProbes(int scheduler, double now, double free) {
        List<String> asked = new ArrayList<>();
        List<String> sent = new ArrayList<>();
        for (boolean more = true; more;) {
            List<String> lines = List.copyOf(outs.get(scheduler).lines);
            outs.get(scheduler).lines.clear();
            more = false;
            for (String line : lines) {
                if (line.startsWith("probe ")) {
                    more = true;
                    asked.add(line.substring("probe ".length()));
                    fleet.get(scheduler).probed(now, line.substring("probe ".length()), Ending.OK, 1,
                        new LoadReport(Double.NaN, 0, 0, Double.NaN, free, Double.NaN));
                } else if (line.startsWith("assign ")) {
                    sent.add(line.substring(line.lastIndexOf(' ') + 1));
                }
            }
        }
        assertThat(asked).isNotEmpty();
        return sent;
    }

    /** Guards the price of crossing: probes drawn from all plants alike sent two jobs in three across. */
    @Test
    void jobsStayInThePlantWhileItHasRoom() {
        int sent = 0;
        int crossed = 0;
        for (int s = 0; s < SCHEDULERS; s++) {
            for (int j = 0; j < 10; j++) {
                double now = 10_000 * (j + 1);
                fleet.get(s).arrived(now, Bench.job("j" + j, 0, 100));
                for (String w : answerProbes(s, now + 1, 4)) {
                    sent++;
                    crossed += workers.get(w).zone() == s % PLANTS ? 0 : 1;
                    fleet.get(s).ended(now + 100, Bench.outcome("j" + j, 0, w, Ending.OK));
                }
            }
        }
        assertThat(sent).isEqualTo(SCHEDULERS * 10);
        assertThat(crossed).as("jobs that crossed plants").isLessThan(sent / 10);
    }
}
