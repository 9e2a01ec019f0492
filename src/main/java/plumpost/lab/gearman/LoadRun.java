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
 * A load run with clients on the calling thread and workers on their own threads. On an open loop jobs start at their scheduled
 * times however slow the answers are, and a job's time counts from its scheduled start, so that one slow answer does not hide
 * the delay of the jobs behind it.
 */
public final class LoadRun {
    private static final double SETTLE_MS = 700;
    private static final int STORM_CONNECTIONS = 30;
    private static final int MUTE_BYTES = 30_000;
    private static final int MUTE_PACKETS = 400;
    private static final int MAX_MUTE_RETRIES = 200;
    private static final double MUTE_RETRY_MS = 10;
    private static final double SECOND_MS = 1000;

    /** The figures of one second of the run. */
    record Second(double atS, long ended, double p50Ms, double p99Ms, long out) {}

    private final LoadPlan plan;
    private final Audit audit;
    private final LoadThread clientThread;
    private final List<LoadThread> workerThreads = new ArrayList<>();
    private final List<LoadClient> clients = new ArrayList<>();
    private final List<SocketChannel> muteChannels = new ArrayList<>();
    private final Histogram times = new Histogram(600_000_000L, 3);
    private final Histogram secondTimes = new Histogram(600_000_000L, 3);
    private final Map<String, Integer> endings = new TreeMap<>();
    private final List<Second> seconds = new ArrayList<>();
    private final SplittableRandom arrivals;
    private int begun;
    private int ended;
    private int resubmitted;
    private int warmupEnded;
    private long endedAtSecond;
    private double tookMs;

    /** Creates a run of a plan. */
    public LoadRun(LoadPlan plan) throws IOException {
        this.plan = plan;
        audit = new Audit(plan.totalJobs());
        clientThread = new LoadThread(plan, audit, 0);
        arrivals = new SplittableRandom(plan.seed());
    }

    private SplittableRandom randomFor(int number) {
        return new SplittableRandom(plan.seed() * 0x9E3779B97F4A7C15L + number);
    }

    boolean isOrder(int number) {
        return randomFor(number).nextDouble() < plan.orders();
    }

    double serviceMs(int number) {
        SplittableRandom random = randomFor(number);
        random.nextLong();
        return plan.service().draw(random);
    }

    private boolean isBackground(int number) {
        SplittableRandom random = randomFor(number);
        random.nextLong();
        random.nextLong();
        return random.nextDouble() < plan.background();
    }

    /** Performs the run, prints progress once a second and returns the result. */
    public LoadResult run(PrintStream progress, ServerMeter meter) throws IOException {
        for (int t = 0; t < plan.threads(); t++) {
            LoadThread workerThread = new LoadThread(plan, audit, t + 1);
            workerThreads.add(workerThread);
            for (int i = t; i < plan.workers(); i += plan.threads()) {
                new LoadWorker(workerThread, "lab-" + plan.seed() + "-" + i).connect();
            }
            workerThread.start("lab-workers-" + t);
        }
        for (int i = 0; i < plan.clients(); i++) {
            clients.add(new LoadClient(clientThread, this));
            clients.get(i).connect();
        }
        runLoopFor(SETTLE_MS);
        double startedAt = clientThread.clock.nowMs();
        double countedFrom = Double.NaN;
        double nextArrival = startedAt;
        double nextSecond = startedAt + SECOND_MS;
        double lastSubmit = startedAt;
        if (plan.ratePerS() <= 0) {
            for (int n = 0; n < plan.outstanding(); n++) {
                for (LoadClient client : clients) {
                    submit(client, clientThread.clock.nowMs());
                }
            }
        }
        while (begun < plan.totalJobs() || ended < plan.totalJobs() + resubmitted) {
            double now = clientThread.clock.nowMs();
            if (Double.isNaN(countedFrom) && begun >= plan.warmup()) {
                countedFrom = now;
                warmupEnded = ended;
                meter.begin();
            }
            while (plan.ratePerS() > 0 && nextArrival <= now && begun < plan.totalJobs()) {
                submit(clients.get(begun % clients.size()), nextArrival);
                nextArrival += -SECOND_MS / plan.ratePerS() * Math.log(1 - arrivals.nextDouble());
            }
            if (begun < plan.totalJobs()) {
                lastSubmit = now;
            } else if (now > lastSubmit + plan.patienceS() * SECOND_MS) {
                break; // jobs without an answer by now count as lost
            }
            if (now >= nextSecond) {
                recordSecond(progress, now - startedAt);
                nextSecond += SECOND_MS;
            }
            clientThread.loop.turn(
                    begun < plan.totalJobs() && plan.ratePerS() > 0 ? Math.min(1, Math.floor(nextArrival - now)) : 1);
        }
        tookMs = clientThread.clock.nowMs() - countedFrom;
        meter.end();
        runLoopFor(plan.faults() > 0 ? SETTLE_MS : 50); // a duplicate final answer would arrive now
        recordSecond(progress, clientThread.clock.nowMs() - startedAt);
        for (SocketChannel channel : muteChannels) {
            channel.close();
        }
        for (LoadThread workerThread : workerThreads) {
            workerThread.stop();
        }
        audit.checkFinalAnswers();
        return new LoadResult(
                plan,
                tookMs,
                begun,
                ended,
                ended - warmupEnded,
                new TreeMap<>(endings),
                audit.counts(),
                audit.examples(),
                audit.brokenRules(),
                times,
                List.copyOf(seconds),
                meter);
    }

    private void runLoopFor(double durationMs) throws IOException {
        for (double end = clientThread.clock.nowMs() + durationMs; clientThread.clock.nowMs() < end; ) {
            clientThread.loop.turn(5);
        }
    }

    private void recordSecond(PrintStream progress, double atMs) {
        seconds.add(new Second(
                atMs / 1000,
                ended - endedAtSecond,
                secondTimes.getValueAtPercentile(50) / 1000.0,
                secondTimes.getValueAtPercentile(99) / 1000.0,
                begun + resubmitted - ended));
        progress.printf(
                "%6.1f s  %8d begun  %8d ended  p50 %.2f ms  p99 %.2f ms  broken %d%n",
                atMs / 1000,
                begun,
                ended,
                secondTimes.getValueAtPercentile(50) / 1000.0,
                secondTimes.getValueAtPercentile(99) / 1000.0,
                audit.brokenRules());
        secondTimes.reset();
        endedAtSecond = ended;
    }

    private void submit(LoadClient client, double scheduledAt) {
        if (begun >= plan.totalJobs()) {
            return;
        }
        int number = begun++;
        client.submit(new LoadClient.Submission(number, scheduledAt, isBackground(number)));
        Fault fault = Fault.draw(plan.seed(), number, plan.faults());
        if (fault == Fault.NONE || fault.isWorkerFault()) {
            return;
        }
        audit.count("fault " + fault);
        int index = clients.indexOf(client);
        switch (fault) {
            case LEAVE, HALF ->
                clientThread.schedule(serviceMs(number) / 2 + 2, () -> client.leave(fault == Fault.HALF));
            case RESUBMIT -> {
                resubmitted++;
                clients.get((index + 1) % clients.size())
                        .submit(new LoadClient.Submission(
                                number, scheduledAt, clients.size() == 1 || isBackground(number)));
            }
            case MUTE -> openMuteConnection();
            default -> openStormConnections();
        }
    }

    /** Opens a connection that requests megabytes of echoes and never reads; not on the loop, which would read. */
    private void openMuteConnection() {
        try {
            SocketChannel channel = SocketChannel.open(plan.target());
            channel.configureBlocking(false);
            muteChannels.add(channel);
            writeEchoRequests(
                    channel,
                    Packet.encode(Packet.REQUEST, Packet.Type.ECHO_REQ, ByteBuffer.allocate(MUTE_BYTES)),
                    0,
                    0);
        } catch (IOException e) {
            audit.count("mute connection refused");
        }
    }

    private void writeEchoRequests(SocketChannel channel, ByteBuffer[] packet, int sent, int retries) {
        try {
            int written = sent;
            while (written < MUTE_PACKETS && channel.write(packet) >= 0 && !packet[packet.length - 1].hasRemaining()) {
                written++;
                for (ByteBuffer buffer : packet) {
                    buffer.rewind();
                }
            }
            if (written < MUTE_PACKETS && retries < MAX_MUTE_RETRIES) {
                int soFar = written;
                clientThread.schedule(MUTE_RETRY_MS, () -> writeEchoRequests(channel, packet, soFar, retries + 1));
            }
        } catch (IOException e) {
            audit.count("mute connection cut off by the server");
        }
    }

    private void openStormConnections() {
        for (int i = 0; i < STORM_CONNECTIONS; i++) {
            clientThread.loop.dial(plan.target(), connection -> new ConnectionHandler() {
                @Override
                public void opened() {
                    connection.write(Packet.encode(Packet.REQUEST, Packet.Type.CAN_DO, plan.plan()));
                    connection.write(Packet.encode(Packet.REQUEST, Packet.Type.PRE_SLEEP));
                    clientThread.schedule(5, connection::closeNow);
                }

                @Override
                public void received(ByteBuffer in) {
                    in.position(in.limit());
                }

                @Override
                public void ended() {}
            });
        }
    }

    /** Records that a submit has ended for its client. */
    void submissionEnded(LoadClient.Submission submission, String ending, LoadClient client) {
        ended++;
        endings.merge(ending, 1, Integer::sum);
        long micros = Math.max(0, Math.round((clientThread.clock.nowMs() - submission.scheduledAt) * 1000));
        if (submission.number >= plan.warmup()) {
            times.recordValue(Math.min(micros, times.getHighestTrackableValue()));
        }
        secondTimes.recordValue(Math.min(micros, secondTimes.getHighestTrackableValue()));
        if (plan.ratePerS() <= 0) {
            submit(client, clientThread.clock.nowMs());
        }
    }

    /** Measures the CPU time and memory of the server's process if its pid is given. */
    public static final class ServerMeter {
        private final long pid;
        private double cpuS = Double.NaN;
        private long residentKb;

        /** Creates a meter for a process; 0 measures nothing. */
        public ServerMeter(long pid) {
            this.pid = pid;
        }

        private void begin() throws IOException {
            cpuS = -readCpuSeconds();
        }

        private void end() throws IOException {
            cpuS += readCpuSeconds();
            if (pid > 0) {
                for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                    if (line.startsWith("VmRSS:")) {
                        residentKb = Long.parseLong(line.replaceAll("[^0-9]", ""));
                    }
                }
            }
        }

        private double readCpuSeconds() throws IOException {
            if (pid <= 0) {
                return Double.NaN;
            }
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return (Long.parseLong(fields[11]) + Long.parseLong(fields[12]))
                    / 100.0; // user and system, in ticks of 10 ms
        }

        double cpuS() {
            return cpuS;
        }

        long residentKb() {
            return residentKb;
        }
    }
}
