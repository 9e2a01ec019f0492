package plumpost.net;

import java.util.function.Consumer;
import plumpost.count.Counters;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/** What every protocol's side works with: connections, time, timers, counters and the log. */
public record LoopContext(Network network, Clock clock, TimerWheel wheel, Counters counters, Consumer<String> log) {}
