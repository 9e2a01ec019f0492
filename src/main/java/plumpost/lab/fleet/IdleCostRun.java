package plumpost.lab.fleet;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import plumpost.config.Json.Fields;
import plumpost.lab.fleet.FleetLab.SchedulerProcess;

/**
 * Measures what an idle fleet of real processes costs: per process the processor time, memory, threads and bytes written
 * as the kernel accounts for them in {@code /proc}, and the syncs of the log as the process counts them. There are no
 * jobs, no workers and no faults.
 */
public final class IdleCostRun {
    private static final double JOIN_TIMEOUT_MS = 120_000;
    private static final double CLOCK_TICKS_PER_SECOND = 100;

    private record Usage(double cpuS, long residentKb, int threads, long writtenBytes, long syncs) {}

    private final FleetLab lab;

    /** Prepares a measurement of a fleet that has not been started yet. */
    public IdleCostRun(FleetLab lab) {
        this.lab = lab;
    }

    /** Waits until all processes are members, then {@code settleS}, then measures and prints one row per process. */
    public void run(int settleS, int seconds, PrintStream out) throws IOException, InterruptedException {
        for (SchedulerProcess process : lab.processes()) {
            process.start();
        }
        for (SchedulerProcess process : lab.processes()) {
            if (lab.history()
                            .await(
                                    0,
                                    JOIN_TIMEOUT_MS,
                                    event -> event.source().equals(process.name())
                                            && event.text().contains("fleet: member "))
                    == null) {
                out.println(process.name() + " is not a member after " + JOIN_TIMEOUT_MS / 1000 + " s");
            }
        }
        double joinedAfterS = lab.history().nowMs() / 1000;
        Thread.sleep(settleS * 1000L);
        List<Usage> before = readUsage();
        long loopback = loopbackBytes();
        Thread.sleep(seconds * 1000L);
        List<Usage> after = readUsage();
        Fields status = lab.show(lab.processes().get(0));
        out.printf(
                "%d processes, all members after %.0f s, %d s at rest, %.1f KB/s on loopback in all, leader %s%n",
                lab.processes().size(),
                joinedAfterS,
                seconds,
                (loopbackBytes() - loopback) / 1024.0 / seconds,
                status == null ? "?" : status.text("leader"));
        out.printf(
                "%-6s %5s %8s %9s %8s %13s %8s%n",
                "name", "vote", "cpu %", "memory MB", "threads", "written KB/s", "syncs/s");
        for (int i = 0; i < before.size(); i++) {
            Usage earlier = before.get(i);
            Usage later = after.get(i);
            out.printf(
                    "%-6s %5s %8.2f %9.1f %8d %13.2f %8.2f%n",
                    lab.processes().get(i).name(),
                    lab.processes().get(i).isVoter() ? "yes" : "no",
                    (later.cpuS - earlier.cpuS) * 100 / seconds,
                    later.residentKb / 1024.0,
                    later.threads,
                    (later.writtenBytes - earlier.writtenBytes) / 1024.0 / seconds,
                    (later.syncs - earlier.syncs) / (double) seconds);
        }
        lab.history().ofKind("log").stream()
                .filter(event -> event.text().contains("is lost"))
                .map(History.Event::text)
                .distinct()
                .forEach(out::println);
    }

    private List<Usage> readUsage() throws IOException, InterruptedException {
        List<Usage> all = new ArrayList<>();
        for (SchedulerProcess process : lab.processes()) {
            Path proc = Path.of("/proc", Long.toString(process.pid()));
            String stat = Files.readString(proc.resolve("stat"));
            String[] statFields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            all.add(new Usage(
                    (Long.parseLong(statFields[11]) + Long.parseLong(statFields[12])) / CLOCK_TICKS_PER_SECOND,
                    readField(proc.resolve("status"), "VmRSS:"),
                    (int) readField(proc.resolve("status"), "Threads:"),
                    readField(proc.resolve("io"), "write_bytes:"),
                    syncs(process)));
        }
        return all;
    }

    private static long readField(Path file, String name) throws IOException {
        return Files.readAllLines(file).stream()
                .filter(l -> l.startsWith(name))
                .findFirst()
                .map(l -> Long.parseLong(l.replaceAll("[^0-9]", "")))
                .orElse(0L);
    }

    private static long syncs(SchedulerProcess process) throws IOException, InterruptedException {
        String counters = HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + process.httpPort() + "/counters"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
        return counters.lines()
                .filter(l -> l.startsWith("fleet.synced "))
                .findFirst()
                .map(l -> Long.parseLong(l.substring(l.indexOf(' ') + 1).strip()))
                .orElse(0L);
    }

    /** Returns the bytes that the whole machine has received over loopback. */
    private static long loopbackBytes() throws IOException {
        return Files.readAllLines(Path.of("/proc/net/dev")).stream()
                .filter(l -> l.strip().startsWith("lo:"))
                .findFirst()
                .map(l -> Long.parseLong(
                        Arrays.asList(l.substring(l.indexOf(':') + 1).strip().split("\\s+"))
                                .get(0)))
                .orElse(0L);
    }
}
