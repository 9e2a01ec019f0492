import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** New settings whose classes have shorter deadlines than those that disappear, and a planned restart some seconds later. */
final class SettingsThenStop {
    private static final double DEADLINE_MS = 1000;
    private static final double KILL_AFTER_MS = DEADLINE_MS + 700 + 50;
    private static final double SLACK_MS = 50;
    private static final int CLIENTS = 12;

    public static void main(String[] args) {
        Rig.run(args, SettingsThenStop::play);
    }

    private static List<String> play(Rig rig) throws Exception {
        List<String> breaches = Collections.synchronizedList(new ArrayList<>());
        List<ServerSocket> nodes = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String host = "s-" + i;
            nodes.add(Web.routeNode(host, request -> {
                rig.note(host + " runs " + request.field("x-txn"));
                Rig.sleep(700);
                return "ran";
            }));
            entries.add(Web.entry("s-" + i, nodes.get(i).getLocalPort(), "plant-1", "up", 0));
        }
        Web.Discovery discovery = new Web.Discovery(entries);
        int http = Rig.freePort();
        String parts = "\"discovery\":\"127.0.0.1:" + discovery.port() + "\"";
        String before = Configs.node(
                "n1", http, parts, Configs.settings(List.of(Configs.ROUTE_PLAN, Configs.PICKUP_ORDER), "\"large\""));
        String after = Configs.node(
                "n1",
                http,
                parts,
                Configs.settings(
                        List.of(
                                Configs.jobClass("route-plan-r2", 600, DEADLINE_MS, "free", 1),
                                Configs.jobClass("pickup-order-r2", 400, DEADLINE_MS, "single_shot", 10)),
                        "\"large\""));
        Rig.Scheduler scheduler = rig.start("n1", Rig.TROUBLE ? before : after);
        Web.awaitReady(rig, http, 20_000);
        Rig.sleep(1500);
        if (Rig.TROUBLE) {
            java.nio.file.Files.writeString(scheduler.config, after);
            scheduler.signal("HUP");
            scheduler.awaitLog("the file is applied", 3000);
        }
        Rig.sleep(4000);

        double[] termAt = {Double.NaN};
        double[] killAt = {Double.NaN};
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String jobClass = i % 3 == 0 ? "pickup-order-r2" : "route-plan-r2";
            double startAfterMs = 110.0 * i;
            threads.add(Web.daemon(() -> {
                Rig.sleep(startAfterMs);
                try (Web.Client client = new Web.Client(http)) {
                    while (Double.isNaN(killAt[0])) {
                        String id = String.format("%016x", 0x5d00000000000000L + sent.incrementAndGet());
                        double sentAt = rig.nowMs();
                        rig.note(id + " " + jobClass + " is sent");
                        Web.Message answer;
                        try {
                            answer = client.job(jobClass, id, (int) DEADLINE_MS, "plan");
                        } catch (IOException e) {
                            answer = null;
                        }
                        double endedAt = rig.nowMs();
                        rig.note(id + " is answered: " + (answer == null ? "nothing" : answer.status()));
                        if (answer != null) {
                            (answer.status() == 200 ? served : answer.status() == 503 ? refused : failed).incrementAndGet();
                        } else if (!Double.isNaN(killAt[0]) && endedAt >= killAt[0] - 5 && sentAt < killAt[0] - 50) {
                            // The connection stayed open up to SIGKILL: the request was taken and has no answer.
                            rig.note(id + " " + jobClass + ", sent " + Math.round(sentAt - termAt[0])
                                    + " ms after SIGTERM, has no answer at SIGKILL, " + Math.round(killAt[0] - termAt[0])
                                    + " ms after SIGTERM");
                            if (sentAt > termAt[0] + 700 + SLACK_MS) {
                                breaches.add(id + " came " + Math.round(sentAt - termAt[0])
                                        + " ms after SIGTERM and was unanswered when SIGKILL came");
                            }
                            return;
                        } else {
                            late.incrementAndGet(); // the scheduler had ended the connection between two requests
                            return;
                        }
                        Rig.sleep(20);
                    }
                }
            }));
        }
        Rig.sleep(3000);
        rig.note("served " + served + ", refused " + refused + ", failed " + failed + " so far");
        scheduler.signal("TERM");
        termAt[0] = rig.nowMs();
        while (rig.nowMs() < termAt[0] + KILL_AFTER_MS) {
            Rig.sleep(termAt[0] + KILL_AFTER_MS - rig.nowMs());
        }
        rig.note("alive before SIGKILL: " + scheduler.process.isAlive());
        killAt[0] = rig.nowMs();
        if (scheduler.process.isAlive()) {
            scheduler.process.destroyForcibly();
        }
        for (Thread thread : threads) {
            thread.join(3000);
        }
        rig.note("served " + served + ", refused " + refused + ", failed " + failed + ", closed between requests " + late);
        if (served.get() == 0) {
            throw new Rig.CannotRun("nothing was served");
        }
        return breaches;
    }
}
