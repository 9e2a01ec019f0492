package plumpost.lab.scale;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import plumpost.http.AnswerEncoder;
import plumpost.http.AnswerReader;
import plumpost.http.BadMessageException;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.SelectorLoop;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/** Open-loop clients of one scheduler: jobs arrive at random times at a given mean rate, independently of the answers. */
final class JobSource {
    /** The fraction of jobs that must run at most once. */
    private static final double ORDER_FRACTION = 0.29;

    private final SelectorLoop loop;
    private final TimerWheel wheel;
    private final Clock clock;
    private final SplittableRandom random;
    private final InetSocketAddress scheduler;
    private double jobsPerSecond;
    private final double serviceMs;
    private final ArrayDeque<Client> idle = new ArrayDeque<>();
    private double nextAt;
    private boolean stopped;
    private long sent;
    private long served;
    private long refused;
    private long failed;

    JobSource(
            SelectorLoop loop,
            TimerWheel wheel,
            Clock clock,
            long seed,
            InetSocketAddress scheduler,
            double jobsPerSecond,
            double serviceMs) {
        this.loop = loop;
        this.wheel = wheel;
        this.clock = clock;
        this.random = new SplittableRandom(seed);
        this.scheduler = scheduler;
        this.jobsPerSecond = jobsPerSecond;
        this.serviceMs = serviceMs;
    }

    void start() {
        nextAt = clock.nowMs();
        sendDue();
    }

    /** Changes the mean rate of arrivals. */
    void setRate(double perSecond) {
        jobsPerSecond = perSecond;
    }

    void stop() {
        stopped = true;
    }

    long sent() {
        return sent;
    }

    long served() {
        return served;
    }

    long refused() {
        return refused;
    }

    /** Returns the number of jobs that were answered as failed, or whose connection broke. */
    long failed() {
        return failed;
    }

    private void sendDue() {
        if (stopped) {
            return;
        }
        while (nextAt <= clock.nowMs()) {
            nextAt += -Math.log(1 - random.nextDouble()) * 1000 / jobsPerSecond;
            Client client = idle.poll();
            if (client == null) {
                client = new Client();
                client.connection = loop.dial(scheduler, client::handle);
            }
            client.send();
        }
        wheel.schedule(nextAt, this::sendDue);
    }

    private final class Client implements ConnectionHandler {
        private Connection connection;
        private AnswerReader reader = new AnswerReader(1 << 16);
        private boolean waiting;

        ConnectionHandler handle(Connection opened) {
            return this;
        }

        void send() {
            String path = random.nextDouble() < ORDER_FRACTION ? "pickup-order" : "route-plan";
            waiting = true;
            connection.write(
                    AnswerEncoder.ascii("POST /" + path + " HTTP/1.1\r\nHost: s\r\nX-Txn: " + Long.toHexString(sent++)
                            + "-" + Long.toHexString(random.nextLong()) + "\r\nX-Remaining-Ms: 8000\r\nX-Estimate: "
                            + (long) (serviceMs * 1000) + "\r\nContent-Length: 4\r\n\r\njob\n"));
        }

        @Override
        public void received(ByteBuffer in) {
            try {
                if (!reader.feed(in)) {
                    return;
                }
            } catch (BadMessageException e) {
                connection.closeNow();
                ended();
                return;
            }
            waiting = false;
            switch (reader.status()) {
                case 200 -> served++;
                case 503 -> refused++;
                default -> failed++;
            }
            reader = new AnswerReader(1 << 16);
            idle.push(this);
        }

        @Override
        public void ended() {
            idle.remove(this);
            if (waiting) {
                waiting = false;
                failed++;
            }
        }
    }
}
