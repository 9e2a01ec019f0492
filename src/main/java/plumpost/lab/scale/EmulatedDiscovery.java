package plumpost.lab.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import plumpost.http.AnswerEncoder;
import plumpost.http.BadMessageException;
import plumpost.http.RequestReader;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.SelectorLoop;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/** The discovery service of a scale run: sends the whole list on each new call, and each change on all open watches. */
final class EmulatedDiscovery {
    private static final double EMPTY_LINE_MS = 2_000;
    private static final int MAX_CONNECTIONS = 10_000;

    private final EmulatedWorkers workers;
    private final int zones;
    private final TimerWheel wheel;
    private final Clock clock;
    private final Set<Connection> watches = new LinkedHashSet<>();
    private final InetSocketAddress address;
    private long version = 1;
    private long changedLines;

    EmulatedDiscovery(SelectorLoop loop, TimerWheel wheel, Clock clock, EmulatedWorkers workers, int zones)
            throws IOException {
        this.workers = workers;
        this.zones = zones;
        this.wheel = wheel;
        this.clock = clock;
        InetSocketAddress anywhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        address = loop.listen(anywhere, DiscoveryConnection::new, MAX_CONNECTIONS, () -> false)
                .address();
        sendEmptyLine();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns the number of changed lines that were published, each counted once for any number of watches. */
    long changedLines() {
        return changedLines;
    }

    /** Publishes that a worker drains or is up again; one that is up again has the current time as its start. */
    void change(int worker, boolean up) {
        version++;
        changedLines++;
        String line = object(false, line(worker, up ? "up" : "draining", up ? clock.nowMs() : 0));
        watches.forEach(watch -> watch.write(AnswerEncoder.ascii(chunk(line))));
    }

    private void sendEmptyLine() {
        watches.forEach(watch -> watch.write(AnswerEncoder.ascii(chunk("\n"))));
        wheel.schedule(clock.nowMs() + EMPTY_LINE_MS, this::sendEmptyLine);
    }

    private String wholeList() {
        return object(
                true,
                IntStream.range(0, workers.count())
                        .mapToObj(worker -> line(worker, "up", 0))
                        .collect(Collectors.joining(",")));
    }

    private String object(boolean whole, String lines) {
        return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + lines + "]}\n";
    }

    private String line(int worker, String health, double startedAtMs) {
        InetSocketAddress workerAddress = workers.address(worker);
        return "{\"host\":\"w-" + worker + "\",\"dial\":\"" + workerAddress.getHostString() + ":"
                + workerAddress.getPort()
                + "\",\"site\":\"zone-" + worker % zones + "\",\"class\":\"m1\",\"block\":0,\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":" + (long) startedAtMs + "}";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns the names of the zones in the list. */
    static List<String> zoneNames(int zones) {
        return IntStream.range(0, zones).mapToObj(zone -> "zone-" + zone).toList();
    }

    private final class DiscoveryConnection implements ConnectionHandler {
        private final Connection connection;
        private final RequestReader reader = new RequestReader(1024);

        DiscoveryConnection(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void received(ByteBuffer in) {
            try {
                if (reader.feed(in)) {
                    connection.write(AnswerEncoder.ascii(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(wholeList())));
                    watches.add(connection);
                }
            } catch (BadMessageException e) {
                connection.closeNow();
            }
        }

        @Override
        public void ended() {
            watches.remove(connection);
        }
    }
}
