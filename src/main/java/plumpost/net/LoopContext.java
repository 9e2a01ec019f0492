package plumpost.net;

import java.util.function.Consumer;
import plumpost.count.Counters;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;
import plumpost.time.UnixTime;

/**
 * The services of one event loop that protocol implementations share.
 *
 * @param network opens outgoing connections
 * @param clock the monotonic clock, for durations and deadlines
 * @param unixTime converts Unix times that are received or sent
 * @param wheel the timers, driven by the clock
 * @param counters the counters, by name
 * @param log receives log lines
 */
public record LoopContext(
        Network network, Clock clock, UnixTime unixTime, TimerWheel wheel, Counters counters, Consumer<String> log) {
    /** Creates a context whose clock itself counts in Unix time and never steps, such as a virtual clock. */
    public LoopContext(Network network, Clock clock, TimerWheel wheel, Counters counters, Consumer<String> log) {
        this(network, clock, UnixTime.of(clock), wheel, counters, log);
    }
}
