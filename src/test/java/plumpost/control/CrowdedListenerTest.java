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

/** The operators' listener on real loopback sockets, among many callers who never finish their calls. */
class CrowdedListenerTest {
    private static final int HALF_WRITTEN = 600;

    /** Guards the answer within 1 s: hundreds of half-written callers hold places, a whole call still gets in. */
    @Test
    @Timeout(30)
    void aWholeCallIsAnsweredAmongHalfWrittenOnes() throws Exception {
        SystemClock clock = new SystemClock();
        TimerWheel wheel = new TimerWheel(clock.nowMs());
        Counters counters = new Counters();
        SelectorLoop loop = new SelectorLoop(clock, wheel, counters, words -> {});
        LoopContext kit = new LoopContext(loop, clock, wheel, counters, words -> {});
        ControlServer door = new ControlServer(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 32, kit, new ControlServer.Operations() {
                    @Override
                    public boolean ready() {
                        return true;
                    }

                    @Override
                    public String figures() {
                        return "node.outstanding:0|g\n";
                    }

                    @Override
                    public Bans.Said offline(String node) {
                        return Bans.Said.UNKNOWN;
                    }

                    @Override
                    public Bans.Said online(String node) {
                        return Bans.Said.UNKNOWN;
                    }
                });
        AtomicReference<InetSocketAddress> at = new AtomicReference<>();
        String where = door.open((address, users, most, batched, unread, shed) -> {
            InetSocketAddress a =
                    loop.listen(address, users, most, unread, shed).address();
            at.set(a);
            return a;
        });
        assertThat(where).startsWith("control ");
        AtomicBoolean over = new AtomicBoolean();
        Thread runs = new Thread(
                () -> {
                    try {
                        loop.run(over::get);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                },
                "loop");
        runs.start();
        List<Socket> crowd = new ArrayList<>();
        try {
            for (int i = 0; i < HALF_WRITTEN; i++) {
                Socket s = new Socket(at.get().getAddress(), at.get().getPort());
                s.getOutputStream().write("GET /control/rea".getBytes(StandardCharsets.US_ASCII));
                crowd.add(s);
            }
            for (int i = 0; i < 5; i++) {
                long start = System.nanoTime();
                String answer = call(at.get(), "GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n");
                double ms = (System.nanoTime() - start) / 1e6;
                assertThat(answer).startsWith("HTTP/1.1 200 ").endsWith("ready\n");
                assertThat(ms).as("milliseconds to the answer").isLessThan(1000);
            }
            assertThat(counters.of("control.shed")).isPositive();
        } finally {
            over.set(true);
            loop.onLoop(() -> {});
            runs.join(5000);
            for (Socket s : crowd) {
                s.close();
            }
        }
    }

    private static String call(InetSocketAddress at, String words) throws IOException {
        try (Socket s = new Socket(at.getAddress(), at.getPort())) {
            s.setSoTimeout(2000);
            OutputStream out = s.getOutputStream();
            out.write(words.getBytes(StandardCharsets.US_ASCII));
            InputStream in = s.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
