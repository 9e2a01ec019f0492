import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
                rig.note(unique + " runs under " + handle);
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
                        String handle = client.submit(Gearman.SUBMIT_JOB, "plan-route", key, Gearman.bytes(key));
                        rig.note(key + " is sent, handle " + handle);
                        Gearman.Packet packet = client.read(9000);
                        rig.note(key + " is answered: " + (packet == null ? "nothing" : "packet " + packet.type()));
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
        Map<String, String> taken = new LinkedHashMap<>();
        try (Gearman client = new Gearman(gearman)) {
            for (int i = 0; i < ORDERS; i++) {
                String order = "order-" + i;
                String handle = client.submit(Gearman.SUBMIT_JOB_BG, "order-van", "order-key-" + i, Gearman.bytes(order));
                rig.note("background " + order + (handle == null ? " is not taken" : " is taken (JOB_CREATED " + handle + ")"));
                if (handle != null) {
                    taken.put(order, handle);
                }
                Rig.sleep(200);
            }
        }
        over[0] = true;
        Rig.sleep(WAIT_MS); // no more traffic, and eight workers that have nothing else to do
        try (Gearman client = new Gearman(gearman)) {
            for (Map.Entry<String, String> order : taken.entrySet()) {
                if (!ran.contains(order.getKey())) {
                    // One that waits still has its time; one that the scheduler no longer knows will never run.
                    client.send(Gearman.GET_STATUS, order.getValue());
                    Gearman.Packet status = client.read(5000);
                    boolean forgotten = status != null && status.type() == Gearman.STATUS_RES && status.text(1).equals("0");
                    rig.note(order.getKey() + " has not run, the scheduler " + (forgotten ? "does not know it" : "knows it"));
                    if (forgotten) {
                        breaches.add(order.getKey() + " was taken (JOB_CREATED), has not run, and is not known any more");
                    }
                }
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
