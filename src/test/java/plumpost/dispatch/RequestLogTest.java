package plumpost.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import plumpost.count.Counters;

/** The bound on the lines about requests. */
class RequestLogTest {
    private final List<String> lines = new ArrayList<>();
    private final Counters counters = new Counters();
    private double nowMs = 1_000;

    /** Guards the log's volume: what is over the limit is left out and counted, and the next second logs again. */
    @Test
    void linesOverTheLimitAreCountedAndLeftOut() {
        RequestLog log = RequestLog.to(lines::add, () -> nowMs, counters, 3);
        for (int i = 0; i < 10; i++) {
            log.event("r" + i, "accepted", "class=a");
        }
        assertThat(lines).hasSize(3).contains("request id=r0 at_ms=1000 event=accepted class=a");
        assertThat(counters.get("log.omitted")).isEqualTo(7);
        nowMs += 1_000;
        log.event("r10", "answered", "");
        assertThat(lines)
                .endsWith(
                        "request log: 7 lines were left out, over the limit of 3 a second",
                        "request id=r10 at_ms=2000 event=answered");
    }
}
