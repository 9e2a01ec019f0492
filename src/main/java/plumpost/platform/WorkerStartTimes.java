package plumpost.platform;

import java.util.LinkedHashMap;
import java.util.Map;
import plumpost.config.NodeListReader;
import plumpost.time.UnixTime;

/**
 * Converts the start times of workers to the loop's clock. A start time is converted once, when it is first listed, and then
 * kept, so that a later step of the wall clock neither ends a slow start early nor prolongs it. A start time first listed after
 * a step counts as the latest moment that any remembered offset between the clocks allows.
 */
final class WorkerStartTimes implements NodeListReader.StartTimes {
    /** Several times the size of the largest node list; the least recently used entry is evicted. */
    private static final int MAX_REMEMBERED = 65_536;

    private record Start(double bornMs, double moment) {}

    private final UnixTime unixTime;
    private final Map<String, Start> byHost = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    WorkerStartTimes(UnixTime unixTime) {
        this.unixTime = unixTime;
    }

    @Override
    public double toLoopTime(String host, double bornMs) {
        Start known = byHost.get(host);
        if (known != null && known.bornMs == bornMs) {
            return known.moment;
        }
        Start start = new Start(bornMs, unixTime.toLatestClockTime(bornMs));
        byHost.put(host, start);
        return start.moment;
    }
}
