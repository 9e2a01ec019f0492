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
import plumpost.lab.fleet.FleetLab.One;

/**
 * What a fleet of real processes costs while nothing is to be done: processor time, memory, threads, and by process bytes
 * written and syncs of the log, by the system's own accounts of each process. No jobs, no workers, no faults.
 */
public final class FleetRest {
    private static final double PATIENCE_MS = 120_000;
    private static final double TICKS_A_SECOND = 100;

    private record Account(double cpuS, long residentKb, int threads, long writtenBytes, long syncs) {}

    private final FleetLab lab;

    /** For a fleet that is not started yet. */
    public FleetRest(FleetLab lab) {
        this.lab = lab;
    }

    /** Waits until all are members, lets them settle for so long, and measures for so long; prints a row a process. */
    public void run(int settleS, int seconds, PrintStream out) throws IOException, InterruptedException {
        for (One o : lab.all()) {
            o.start();
        }
        for (One o : lab.all()) {
            if (lab.history()
                            .await(
                                    0,
                                    PATIENCE_MS,
                                    s -> s.who().equals(o.name()) && s.words().contains("fleet: member "))
                    == null) {
                out.println(o.name() + " is no member after " + PATIENCE_MS / 1000 + " s");
            }
        }
        double all = lab.history().nowMs() / 1000;
        Thread.sleep(settleS * 1000L);
        List<Account> before = accounts();
        long loopback = loopback();
        Thread.sleep(seconds * 1000L);
        List<Account> after = accounts();
        Fields page = lab.show(lab.all().get(0));
        out.printf(
                "%d processes, all members after %.0f s, %d s at rest, %.1f KB/s on loopback in all, leader %s%n",
                lab.all().size(),
                all,
                seconds,
                (loopback() - loopback) / 1024.0 / seconds,
                page == null ? "?" : page.text("leader"));
        out.printf(
                "%-6s %5s %8s %9s %8s %13s %8s%n",
                "name", "vote", "cpu %", "memory MB", "threads", "written KB/s", "syncs/s");
        for (int i = 0; i < before.size(); i++) {
            Account a = before.get(i);
            Account b = after.get(i);
            out.printf(
                    "%-6s %5s %8.2f %9.1f %8d %13.2f %8.2f%n",
                    lab.all().get(i).name(),
                    lab.all().get(i).vote() ? "yes" : "no",
                    (b.cpuS - a.cpuS) * 100 / seconds,
                    b.residentKb / 1024.0,
                    b.threads,
                    (b.writtenBytes - a.writtenBytes) / 1024.0 / seconds,
                    (b.syncs - a.syncs) / (double) seconds);
        }
        lab.history().of("log").stream()
                .filter(s -> s.words().contains("is lost"))
                .map(History.Seen::words)
                .distinct()
                .forEach(out::println);
    }

    private List<Account> accounts() throws IOException, InterruptedException {
        List<Account> all = new ArrayList<>();
        for (One o : lab.all()) {
            Path proc = Path.of("/proc", Long.toString(o.pid()));
            String stat = Files.readString(proc.resolve("stat"));
            String[] f = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            all.add(new Account(
                    (Long.parseLong(f[11]) + Long.parseLong(f[12])) / TICKS_A_SECOND,
                    field(proc.resolve("status"), "VmRSS:"),
                    (int) field(proc.resolve("status"), "Threads:"),
                    field(proc.resolve("io"), "write_bytes:"),
                    syncs(o)));
        }
        return all;
    }

    private static long field(Path file, String name) throws IOException {
        return Files.readAllLines(file).stream()
                .filter(l -> l.startsWith(name))
                .findFirst()
                .map(l -> Long.parseLong(l.replaceAll("[^0-9]", "")))
                .orElse(0L);
    }

    private static long syncs(One o) throws IOException, InterruptedException {
        String counters = HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + o.http() + "/counters"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
        return counters.lines()
                .filter(l -> l.startsWith("fleet.synced "))
                .findFirst()
                .map(l -> Long.parseLong(l.substring(l.indexOf(' ') + 1).strip()))
                .orElse(0L);
    }

    /** Bytes received over loopback by the whole machine. */
    private static long loopback() throws IOException {
        return Files.readAllLines(Path.of("/proc/net/dev")).stream()
                .filter(l -> l.strip().startsWith("lo:"))
                .findFirst()
                .map(l -> Long.parseLong(
                        Arrays.asList(l.substring(l.indexOf(':') + 1).strip().split("\\s+"))
                                .get(0)))
                .orElse(0L);
    }
}
