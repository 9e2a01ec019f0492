package plumpost.lab.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import plumpost.http.AnswerEncoder;
import plumpost.http.BadMessageException;
import plumpost.http.RequestReader;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.SelectorLoop;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/**
 * Thousands of emulated workers in one process. Each has its own loopback address and speaks the platform's protocol, but does
 * no work: a job starts at once and is done after a fixed time, and probes are answered with free slots.
 */
final class EmulatedWorkers {
    private static final int BODY_LIMIT = 64 * 1024;
    private static final int CONNECTIONS_PER_WORKER = 10_000;
    /** Addresses start at 127.1.0.1, with this many in each block of 256. */
    private static final int ADDRESSES_PER_BLOCK = 250;

    private static final String STATS = "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\ninflight=0,queue=0,x0=4";

    private final TimerWheel wheel;
    private final Clock clock;
    private final double serviceMs;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private long jobs;
    private long probes;

    /** Opens {@code count} workers on a loop, each of which takes {@code serviceMs} for a job. */
    EmulatedWorkers(SelectorLoop loop, TimerWheel wheel, Clock clock, int count, double serviceMs) throws IOException {
        this.wheel = wheel;
        this.clock = clock;
        this.serviceMs = serviceMs;
        for (int i = 0; i < count; i++) {
            InetSocketAddress listenAddress = new InetSocketAddress(address(i), 0);
            addresses.add(loop.listen(listenAddress, WorkerConnection::new, CONNECTIONS_PER_WORKER, () -> false)
                    .address());
        }
    }

    private static InetAddress address(int worker) throws IOException {
        int block = worker / ADDRESSES_PER_BLOCK;
        byte last = (byte) (1 + worker % ADDRESSES_PER_BLOCK);
        return InetAddress.getByAddress(new byte[] {127, (byte) (1 + block / 256), (byte) (block % 256), last});
    }

    InetSocketAddress address(long worker) {
        return addresses.get((int) worker);
    }

    int count() {
        return addresses.size();
    }

    /** Returns the number of jobs that were accepted. */
    long jobs() {
        return jobs;
    }

    /** Returns the number of probes that were answered. */
    long probes() {
        return probes;
    }

    /** One connection to a worker, which carries one job or probe at a time. */
    private final class WorkerConnection implements ConnectionHandler {
        private final Connection connection;
        private final RequestReader reader = new RequestReader(BODY_LIMIT);
        private boolean closed;

        WorkerConnection(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void received(ByteBuffer in) {
            try {
                while (!closed && in.hasRemaining() && reader.feed(in)) {
                    request();
                    reader.reset();
                }
            } catch (BadMessageException e) {
                closed = true;
                connection.closeNow();
            }
        }

        private void request() {
            if (reader.path().startsWith("/stats") || reader.path().startsWith("/health")) {
                probes++;
                connection.write(AnswerEncoder.ascii(STATS));
                return;
            }
            jobs++;
            String id = reader.head().field("X-Txn");
            connection.write(AnswerEncoder.ascii(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(id, "\"state\":\"started\"")));
            wheel.schedule(clock.nowMs() + serviceMs, () -> {
                if (!closed) {
                    String done = chunk(id, "\"state\":\"done\",\"result\":\"done\"");
                    connection.write(AnswerEncoder.ascii(done + "0\r\n\r\n"));
                }
            });
        }

        private static String chunk(String id, String fields) {
            String line = "{\"id\":\"" + id + "\"," + fields + "}\n";
            return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
        }

        @Override
        public void ended() {
            closed = true;
        }
    }
}
