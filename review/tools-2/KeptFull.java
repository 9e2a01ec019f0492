import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Background orders that are handed in at the end of a burst of half as much traffic again. */
final class KeptFull {
    private static final int RESULT_BYTES = 64_000;
    private static final double USUAL_PER_S = 12;
    private static final double BURST_PER_S = 18;
    private static final double USUAL_MS = 9_000;
    private static final double BURST_MS = 10_000;
    private static final int ORDERS = 25;
    private static final double WAIT_MS = 30_000;

    public static void main(String[] args) {
        Rig.run(args, KeptFull::play);
    }

    private static List<String> play(Rig rig) throws Exception {
        List<String> breaches = Collections.synchronizedList(new ArrayList<>());
        int http = Rig.freePort();
        int gearman = Rig.freePort();
        rig.start(
                "plumpost-gearman",
                Configs.node(
                        "plumpost-gearman",
                        http,
                        Configs.gearman(gearman),
                        Configs.settings(List.of(Configs.ROUTE_PLAN, Configs.PICKUP_ORDER), "\"gearman\"")));
        Web.awaitReady(rig, http, 15_000);
        byte[] result = new byte[RESULT_BYTES];
        java.util.Arrays.fill(result, (byte) 'r');
        for (int i = 0; i < 24; i++) {
            Gearman.worker(gearman, "plan-" + i, List.of("plan-route"), (connection, handle, function, unique, data) -> {
                Rig.sleep(600);
                return result;
            });
        }
        Set<String> ran = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 8; i++) {
            Gearman.worker(gearman, "van-" + i, List.of("order-van"), (connection, handle, function, unique, data) -> {
                ran.add(new String(data));
                rig.note(new String(data) + " runs under " + handle);
                Rig.sleep(1000);
                return Gearman.bytes("sent");
            });
        }
        Rig.sleep(1500);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        boolean[] over = new boolean[1];
        double usualEnd = rig.nowMs() + USUAL_MS;
        Web.daemon(() -> {
            while (!over[0]) {
                String key = "plan-key-" + sent.incrementAndGet();
                Web.daemon(() -> {
                    try (Gearman client = new Gearman(gearman)) {
                        client.submit(Gearman.SUBMIT_JOB, "plan-route", key, Gearman.bytes(key));
                        Gearman.Packet packet = client.read(9000);
                        (packet != null && packet.type() == Gearman.WORK_COMPLETE ? served : failed).incrementAndGet();
                    }
                });
                Rig.sleep(1000 / (Rig.TROUBLE && rig.nowMs() > usualEnd ? BURST_PER_S : USUAL_PER_S));
            }
        });
        Rig.sleep(USUAL_MS);
        rig.note("usual traffic: sent " + sent + ", served " + served + ", failed " + failed);
        Rig.sleep(BURST_MS - 5000);
        rig.note((Rig.TROUBLE ? "burst" : "usual traffic") + ": sent " + sent + ", served " + served + ", failed " + failed);
        List<String> taken = new ArrayList<>();
        try (Gearman client = new Gearman(gearman)) {
            for (int i = 0; i < ORDERS; i++) {
                String order = "order-" + i;
                String handle = client.submit(Gearman.SUBMIT_JOB_BG, "order-van", "order-key-" + i, Gearman.bytes(order));
                rig.note("background " + order + (handle == null ? " is not taken" : " is taken (JOB_CREATED " + handle + ")"));
                if (handle != null) {
                    taken.add(order);
                }
                Rig.sleep(200);
            }
        }
        over[0] = true;
        Rig.sleep(WAIT_MS); // no more traffic, and eight workers that have nothing else to do
        for (String order : taken) {
            if (!ran.contains(order)) {
                breaches.add(order + " was taken (JOB_CREATED) and had not run " + Math.round(WAIT_MS / 1000)
                        + " s after the traffic had ended");
            }
        }
        for (String line : Web.call(http, "GET", "/counters").text().split("\n")) {
            if (line.startsWith("jobs.") || line.startsWith("guard.")) {
                rig.note(line);
            }
        }
        if (taken.isEmpty()) {
            rig.note("no order was taken: there is nothing that could be lost");
        }
        return breaches;
    }
}
