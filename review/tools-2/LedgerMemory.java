import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Covered orders at one scheduler with a disk alone, through a day of usual or of twice the usual traffic. */
final class LedgerMemory {
    private static final int BYTES = 30_000;
    private static final double USUAL_PER_S = 9.6;
    private static final double DAY_MS = 55_000;
    private static final double WAIT_MS = 25_000;

    public static void main(String[] args) {
        Rig.run(args, LedgerMemory::play);
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
                        Configs.settings(List.of(Configs.ROUTE_PLAN, Configs.PICKUP_ORDER), "\"gearman\"")));
        Web.awaitReady(rig, http, 20_000);
        scheduler.awaitLog("acknowledged by the leader", 20_000);
        byte[] result = new byte[BYTES];
        Arrays.fill(result, (byte) 'r');
        Set<String> ran = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 60; i++) {
            Gearman.worker(gearman, "van-" + i, List.of("order-van"), (connection, handle, function, unique, data) -> {
                ran.add(unique);
                rig.note(unique + " runs under " + handle);
                Rig.sleep(1000);
                return result;
            });
        }
        Rig.sleep(1500);
        Map<String, AtomicInteger> tally = new ConcurrentHashMap<>();
        double perSecond = USUAL_PER_S * (Rig.TROUBLE ? 2 : 1);
        int count = (int) (perSecond * DAY_MS / 1000);
        for (int i = 0; i < count; i++) {
            String key = "order-" + i;
            boolean inBackground = i % 3 == 0;
            byte[] body = Arrays.copyOf(Gearman.bytes(key), BYTES);
            Web.daemon(() -> {
                String end;
                try (Gearman client = new Gearman(gearman)) {
                    rig.note(key + " is sent" + (inBackground ? " in the background" : ""));
                    client.send(inBackground ? Gearman.SUBMIT_JOB_BG : Gearman.SUBMIT_JOB, "order-van", key, body);
                    Gearman.Packet packet = client.read(22_000);
                    if (packet == null) {
                        end = "neither taken nor refused";
                        breaches.add(key + " was read whole and its client got no answer");
                    } else if (packet.type() != Gearman.JOB_CREATED) {
                        end = "refused: " + packet.text(0);
                    } else if (inBackground) {
                        end = "taken in the background";
                    } else {
                        packet = client.read(22_000);
                        end = packet == null ? "taken and not answered" : "taken, packet " + packet.type();
                        if (packet == null) {
                            breaches.add(key + " was taken and its client got no final answer");
                        }
                    }
                }
                rig.note(key + " is " + end);
                tally.computeIfAbsent(end, any -> new AtomicInteger()).incrementAndGet();
            });
            Rig.sleep(1000 / perSecond);
            if (i % 200 == 199) {
                rig.note((i + 1) + " orders: " + new TreeMap<>(tally) + ", ran " + ran.size());
            }
        }
        Rig.sleep(WAIT_MS);
        rig.note(count + " orders: " + new TreeMap<>(tally) + ", ran " + ran.size() + ", the process runs: "
                + scheduler.process.isAlive());
        if (!scheduler.process.isAlive()) {
            breaches.add("the scheduler has ended by itself");
        }
        rig.note("lines of the log about memory: "
                + scheduler.logText().lines().filter(line -> line.contains("OutOfMemoryError")).count());
        return breaches;
    }
}
