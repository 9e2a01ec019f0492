package plumpost.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.count.Counters;
import plumpost.dispatch.Bans;
import plumpost.net.LoopContext;
import plumpost.net.SelectorLoop;
import plumpost.time.SystemClock;
import plumpost.time.TimerWheel;

/** Tests the operators' listener on loopback sockets while many clients never finish their calls. */
class CrowdedListenerTest {
    private static final int UNFINISHED_CALLS = 600;

    /** A complete call is answered within 1 s although hundreds of unfinished calls occupy the listener's connections. */
    @Test
    @Timeout(30)
    void aCompleteCallIsAnsweredAmongUnfinishedOnes() throws Exception {
        SystemClock clock = new SystemClock();
        TimerWheel wheel = new TimerWheel(clock.nowMs());
        Counters counters = new Counters();
        SelectorLoop loop = new SelectorLoop(clock, wheel, counters, words -> {});
        LoopContext context = new LoopContext(loop, clock, wheel, counters, words -> {});
        ControlServer server = new ControlServer(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                32,
                context,
                new ControlServer.Operations() {
                    @Override
                    public boolean ready() {
                        return true;
                    }

                    @Override
                    public String statsdLines() {
                        return "node.outstanding:0|g\n";
                    }

                    @Override
                    public Bans.BanResult takeOffline(String node) {
                        return Bans.BanResult.UNKNOWN;
                    }

                    @Override
                    public Bans.BanResult bringOnline(String node) {
                        return Bans.BanResult.UNKNOWN;
                    }
                });
        AtomicReference<InetSocketAddress> bound = new AtomicReference<>();
        String description = server.open((address, handlerFactory, maxConnections, batched, unread, shedConnection) -> {
            InetSocketAddress local = loop.listen(address, handlerFactory, maxConnections, unread, shedConnection)
                    .address();
            bound.set(local);
            return local;
        });
        assertThat(description).startsWith("control ");
        AtomicBoolean finished = new AtomicBoolean();
        Thread loopThread = new Thread(
                () -> {
                    try {
                        loop.run(finished::get);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                },
                "loop");
        loopThread.start();
        List<Socket> unfinished = new ArrayList<>();
        try {
            for (int i = 0; i < UNFINISHED_CALLS; i++) {
                Socket unfinishedCall =
                        new Socket(bound.get().getAddress(), bound.get().getPort());
                unfinishedCall.getOutputStream().write("GET /control/rea".getBytes(StandardCharsets.US_ASCII));
                unfinished.add(unfinishedCall);
            }
            for (int i = 0; i < 5; i++) {
                long start = System.nanoTime();
                String answer = call(bound.get(), "GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n");
                double ms = (System.nanoTime() - start) / 1e6;
                assertThat(answer).startsWith("HTTP/1.1 200 ").endsWith("ready\n");
                assertThat(ms).as("milliseconds to the answer").isLessThan(1000);
            }
            assertThat(counters.get("control.shed")).isPositive();
        } finally {
            finished.set(true);
            loop.execute(() -> {});
            loopThread.join(5000);
            for (Socket unfinishedCall : unfinished) {
                unfinishedCall.close();
            }
        }
    }

    private static String call(InetSocketAddress address, String request) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(2000);
            OutputStream out = socket.getOutputStream();
            out.write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
