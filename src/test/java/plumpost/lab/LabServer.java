package plumpost.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import plumpost.Scenario;
import plumpost.config.GearmanConfig;
import plumpost.config.Json;
import plumpost.config.NodeConfig;
import plumpost.config.SettingsReader;
import plumpost.count.Counters;
import plumpost.dispatch.DispatchCore;
import plumpost.gearman.GearmanFront;
import plumpost.net.LoopContext;
import plumpost.net.SelectorLoop;
import plumpost.time.SystemClock;
import plumpost.time.TimerWheel;

/** A Gearman front on a free loopback port, with its own thread and dispatch core. */
final class LabServer implements AutoCloseable {
    final Counters counters = new Counters();
    private final InetSocketAddress address;
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean stopped;

    LabServer(GearmanConfig config, double coldMs) throws IOException {
        String settings = Scenario.SETTINGS.replace("\"coldMs\":400.0", "\"coldMs\":" + coldMs);
        Json.Fields raw = Json.object("settings", settings.getBytes(StandardCharsets.UTF_8));
        SystemClock clock = new SystemClock();
        TimerWheel wheel = new TimerWheel(clock.nowMs());
        SelectorLoop loop = new SelectorLoop(clock, wheel, counters, words -> {});
        NodeConfig node =
                new NodeConfig("lab", null, null, 7, 4096, SettingsReader.settings(raw), raw, raw, config, null, null);
        DispatchCore core = new DispatchCore(
                node.settings(),
                7,
                clock,
                wheel,
                counters,
                new DispatchCore.Bounds(
                        200_000, 64 << 20, 100_000, 64 << 20, config.limits().packetBytes()),
                words -> {});
        GearmanFront front =
                new GearmanFront(node, "0", core, new LoopContext(loop, clock, wheel, counters, words -> {}), () -> {});
        InetSocketAddress[] listening = new InetSocketAddress[1];
        front.open((to, users, maxConnections, batched, unread, shed) -> listening[0] = loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), users, maxConnections, unread, shed)
                .batchWrites()
                .address());
        address = listening[0];
        Thread thread = new Thread(
                () -> {
                    try {
                        loop.run(() -> stopped);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    } finally {
                        ended.countDown();
                    }
                },
                "lab-server");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return address;
    }

    @Override
    public void close() {
        stopped = true;
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
