package plumpost.lab.gearman;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import plumpost.gearman.Packet;
import plumpost.net.ConnectionHandler;

/**
 * A load run: clients on this thread, workers on threads of their own. On an open loop jobs start when the plan says,
 * however slow answers are, and a job's time counts from then, so that no slow answer hides the ones behind it.
 */
public final class LoadRun {
    private static final double SETTLE_MS = 700;
    private static final int STORM = 30;
    private static final int MUTE_BYTES = 30_000;
    private static final int MUTE_PACKETS = 400;
    private static final int MUTE_TURNS = 200;
    private static final double MUTE_MS = 10;
    private static final double SECOND_MS = 1000;

    /** A second of the run. */
    record Second(double atS, long ended, double p50Ms, double p99Ms, long out) {}

    private final LoadPlan plan;
    private final Audit audit;
    private final Yard yard;
    private final List<Yard> yards = new ArrayList<>();
    private final List<LoadClient> clients = new ArrayList<>();
    private final List<SocketChannel> mute = new ArrayList<>();
    private final Histogram all = new Histogram(600_000_000L, 3);
    private final Histogram second = new Histogram(600_000_000L, 3);
    private final Map<String, Integer> endings = new TreeMap<>();
    private final List<Second> seconds = new ArrayList<>();
    private final SplittableRandom arrivals;
    private int begun;
    private int ended;
    private int extra;
    private int uncounted;
    private long endedAtSecond;
    private double tookMs;

    /** A run of a plan. */
    public LoadRun(LoadPlan plan) throws IOException {
        this.plan = plan;
        audit = new Audit(plan.all());
        yard = new Yard(plan, audit, 0);
        arrivals = new SplittableRandom(plan.seed());
    }

    private SplittableRandom of(int number) {
        return new SplittableRandom(plan.seed() * 0x9E3779B97F4A7C15L + number);
    }

    boolean isOrder(int number) {
        return of(number).nextDouble() < plan.orders();
    }

    double serviceMs(int number) {
        SplittableRandom random = of(number);
        random.nextLong();
        return plan.service().draw(random);
    }

    private boolean isBackground(int number) {
        SplittableRandom random = of(number);
        random.nextLong();
        random.nextLong();
        return random.nextDouble() < plan.background();
    }

    /** Runs to the end; progress goes to {@code progress}. Returns what came of it. */
    public LoadResult run(PrintStream progress, ServerMeter meter) throws IOException {
        for (int t = 0; t < plan.threads(); t++) {
            Yard y = new Yard(plan, audit, t + 1);
            yards.add(y);
            for (int i = t; i < plan.workers(); i += plan.threads()) {
                new LoadWorker(y, "lab-" + plan.seed() + "-" + i).connect();
            }
            y.start("lab-workers-" + t);
        }
        for (int i = 0; i < plan.clients(); i++) {
            clients.add(new LoadClient(yard, this));
            clients.get(i).connect();
        }
        turnFor(SETTLE_MS);
        double from = yard.clock.nowMs();
        double countedFrom = Double.NaN;
        double next = from;
        double nextSecond = from + SECOND_MS;
        double lastSubmit = from;
        if (plan.ratePerS() <= 0) {
            for (int n = 0; n < plan.outstanding(); n++) {
                for (LoadClient c : clients) {
                    submit(c, yard.clock.nowMs());
                }
            }
        }
        while (begun < plan.all() || ended < plan.all() + extra) {
            double now = yard.clock.nowMs();
            if (Double.isNaN(countedFrom) && begun >= plan.warmup()) {
                countedFrom = now;
                uncounted = ended;
                meter.begin();
            }
            while (plan.ratePerS() > 0 && next <= now && begun < plan.all()) {
                submit(clients.get(begun % clients.size()), next);
                next += -SECOND_MS / plan.ratePerS() * Math.log(1 - arrivals.nextDouble());
            }
            if (begun < plan.all()) {
                lastSubmit = now;
            } else if (now > lastSubmit + plan.patienceS() * SECOND_MS) {
                break; // what has no answer by now is counted as lost
            }
            if (now >= nextSecond) {
                tick(progress, now - from);
                nextSecond += SECOND_MS;
            }
            yard.loop.turn(begun < plan.all() && plan.ratePerS() > 0 ? Math.min(1, Math.floor(next - now)) : 1);
        }
        tookMs = yard.clock.nowMs() - countedFrom;
        meter.end();
        turnFor(plan.faults() > 0 ? SETTLE_MS : 50); // a second final answer would come now
        tick(progress, yard.clock.nowMs() - from);
        for (SocketChannel m : mute) {
            m.close();
        }
        for (Yard y : yards) {
            y.stop();
        }
        audit.close();
        return new LoadResult(
                plan,
                tookMs,
                begun,
                ended,
                ended - uncounted,
                new TreeMap<>(endings),
                audit.counts(),
                audit.examples(),
                audit.brokenRules(),
                all,
                List.copyOf(seconds),
                meter);
    }

    private void turnFor(double ms) throws IOException {
        for (double end = yard.clock.nowMs() + ms; yard.clock.nowMs() < end; ) {
            yard.loop.turn(5);
        }
    }

    private void tick(PrintStream progress, double atMs) {
        seconds.add(new Second(
                atMs / 1000,
                ended - endedAtSecond,
                second.getValueAtPercentile(50) / 1000.0,
                second.getValueAtPercentile(99) / 1000.0,
                begun + extra - ended));
        progress.printf(
                "%6.1f s  %8d begun  %8d ended  p50 %.2f ms  p99 %.2f ms  broken %d%n",
                atMs / 1000,
                begun,
                ended,
                second.getValueAtPercentile(50) / 1000.0,
                second.getValueAtPercentile(99) / 1000.0,
                audit.brokenRules());
        second.reset();
        endedAtSecond = ended;
    }

    private void submit(LoadClient client, double meantAt) {
        if (begun >= plan.all()) {
            return;
        }
        int number = begun++;
        client.submit(new LoadClient.Out(number, meantAt, isBackground(number)));
        Fault f = Fault.of(plan.seed(), number, plan.faults());
        if (f == Fault.NONE || f.onWorker()) {
            return;
        }
        audit.count("fault " + f);
        int at = clients.indexOf(client);
        switch (f) {
            case LEAVE, HALF -> yard.later(serviceMs(number) / 2 + 2, () -> client.leave(f == Fault.HALF));
            case RESUBMIT -> {
                extra++;
                clients.get((at + 1) % clients.size())
                        .submit(new LoadClient.Out(number, meantAt, clients.size() == 1 || isBackground(number)));
            }
            case MUTE -> mute();
            default -> storm();
        }
    }

    /** A connection that asks for megabytes of echoes and never reads; its socket is no loop's, which would read. */
    private void mute() {
        try {
            SocketChannel channel = SocketChannel.open(plan.target());
            channel.configureBlocking(false);
            mute.add(channel);
            ask(channel, Packet.bytes(Packet.REQUEST, Packet.Type.ECHO_REQ, ByteBuffer.allocate(MUTE_BYTES)), 0, 0);
        } catch (IOException e) {
            audit.count("mute connection refused");
        }
    }

    private void ask(SocketChannel channel, ByteBuffer[] packet, int sent, int turns) {
        try {
            int n = sent;
            while (n < MUTE_PACKETS && channel.write(packet) >= 0 && !packet[packet.length - 1].hasRemaining()) {
                n++;
                for (ByteBuffer b : packet) {
                    b.rewind();
                }
            }
            if (n < MUTE_PACKETS && turns < MUTE_TURNS) {
                int so = n;
                yard.later(MUTE_MS, () -> ask(channel, packet, so, turns + 1));
            }
        } catch (IOException e) {
            audit.count("mute connection cut off by the server");
        }
    }

    private void storm() {
        for (int i = 0; i < STORM; i++) {
            yard.loop.dial(plan.target(), wire -> new ConnectionHandler() {
                @Override
                public void opened() {
                    wire.write(Packet.bytes(Packet.REQUEST, Packet.Type.CAN_DO, plan.plan()));
                    wire.write(Packet.bytes(Packet.REQUEST, Packet.Type.PRE_SLEEP));
                    yard.later(5, wire::cut);
                }

                @Override
                public void bytes(ByteBuffer in) {
                    in.position(in.limit());
                }

                @Override
                public void ended() {}
            });
        }
    }

    /** A submit has ended for its client. */
    void ended(LoadClient.Out out, String how, LoadClient client) {
        ended++;
        endings.merge(how, 1, Integer::sum);
        long micros = Math.max(0, Math.round((yard.clock.nowMs() - out.meantAt) * 1000));
        if (out.number >= plan.warmup()) {
            all.recordValue(Math.min(micros, all.getHighestTrackableValue()));
        }
        second.recordValue(Math.min(micros, second.getHighestTrackableValue()));
        if (plan.ratePerS() <= 0) {
            submit(client, yard.clock.nowMs());
        }
    }

    /** What the server's process uses, where its number is given. */
    public static final class ServerMeter {
        private final long pid;
        private double cpuS = Double.NaN;
        private long residentKb;

        /** A meter of a process, or of none where that is 0. */
        public ServerMeter(long pid) {
            this.pid = pid;
        }

        private void begin() throws IOException {
            cpuS = -cpu();
        }

        private void end() throws IOException {
            cpuS += cpu();
            if (pid > 0) {
                for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                    if (line.startsWith("VmRSS:")) {
                        residentKb = Long.parseLong(line.replaceAll("[^0-9]", ""));
                    }
                }
            }
        }

        private double cpu() throws IOException {
            if (pid <= 0) {
                return Double.NaN;
            }
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            String[] f = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return (Long.parseLong(f[11]) + Long.parseLong(f[12])) / 100.0; // user and system, in ticks of 10 ms
        }

        double cpuS() {
            return cpuS;
        }

        long residentKb() {
            return residentKb;
        }
    }
}
