import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A covered class with a window for repeats, and Gearman workers that drop their connection in the middle of a job. */
final class GuardedWindow {
    private static final double WINDOW_MS = 5000;
    private static final double SLACK_MS = 50;
    private static final int JOBS = 3;

    public static void main(String[] args) {
        Rig.run(args, GuardedWindow::play);
    }

    private static List<String> play(Rig rig) throws Exception {
        List<String> breaches = Collections.synchronizedList(new ArrayList<>());
        int http = Rig.freePort();
        int gearman = Rig.freePort();
        Rig.Scheduler scheduler = rig.start(
                "plumpost-durable",
                Configs.node(
                        "plumpost-durable",
                        http,
                        Configs.gearman(gearman) + "," + Configs.alone(rig, "plumpost-durable", "\"pickup-order\""),
                        Configs.settings(
                                List.of(Configs.ROUTE_PLAN, Configs.jobClass("pickup-order", 400, 20000, "guarded", 10)),
                                "\"gearman\"")));
        Web.awaitReady(rig, http, 20_000);
        scheduler.awaitLog("acknowledged by the leader", 20_000);
        Map<String, Double> firstRun = new ConcurrentHashMap<>();
        for (int i = 0; i < JOBS + 3; i++) {
            Gearman.worker(gearman, "van-" + i, List.of("order-van"), (connection, handle, function, unique, data) -> {
                String job = new String(data);
                double now = rig.nowMs();
                Double first = firstRun.putIfAbsent(job, now);
                rig.note(job + " is sent to a worker, unique key " + unique
                        + (first == null ? "" : ", " + Math.round(now - first) + " ms after its first attempt"));
                if (first != null && now - first > WINDOW_MS + SLACK_MS) {
                    breaches.add(job + " was sent again " + Math.round(now - first)
                            + " ms after an attempt that may have run; its window is " + Math.round(WINDOW_MS) + " ms");
                }
                Rig.sleep(1000);
                if (Rig.TROUBLE && first == null) {
                    rig.note("the worker drops its connection in the middle of " + job);
                    connection.close();
                    return null;
                }
                return Gearman.bytes("sent");
            });
        }
        Rig.sleep(1500);
        for (int i = 1; i <= JOBS; i++) {
            String job = "order " + i;
            String key = "order-key-" + i;
            Web.daemon(() -> {
                try (Gearman client = new Gearman(gearman)) {
                    String handle = client.submit(Gearman.SUBMIT_JOB, "order-van", key, Gearman.bytes(job));
                    rig.note(job + " is taken as " + handle);
                    Gearman.Packet packet = client.read(22_000);
                    rig.note("the client of " + job + " got " + (packet == null ? "nothing" : "packet " + packet.type()));
                }
            });
            Rig.sleep(200);
        }
        Rig.sleep(30_000);
        if (firstRun.size() < JOBS) {
            throw new Rig.CannotRun("not all orders ran: " + firstRun.keySet());
        }
        return breaches;
    }
}
