import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A class disappears with one file of settings and appears with a later one, where it must not run twice. After that a
 * Gearman worker drops its connection in the middle of a job of that class.
 */
final class StricterClass {
    private static final int JOBS = 3;

    public static void main(String[] args) {
        Rig.run(args, StricterClass::play);
    }

    private static List<String> play(Rig rig) throws Exception {
        List<String> breaches = Collections.synchronizedList(new ArrayList<>());
        int http = Rig.freePort();
        int gearman = Rig.freePort();
        String parts = Configs.gearman(gearman).replace(",{\"match\":\"plan*\",\"class\":\"route-plan\"}", "") + ","
                + Configs.alone(rig, "plumpost-durable", "\"route-plan\",\"pickup-order\"");
        String shape = "\"gearman\"";
        String free = Configs.node(
                "plumpost-durable",
                http,
                parts,
                Configs.settings(List.of(Configs.ROUTE_PLAN, Configs.PICKUP_ORDER), shape));
        String without =
                Configs.node("plumpost-durable", http, parts, Configs.settings(List.of(Configs.PICKUP_ORDER), shape));
        String strict = Configs.node(
                "plumpost-durable",
                http,
                parts,
                Configs.settings(
                        List.of(Configs.jobClass("route-plan", 600, 8000, "single_shot", 1), Configs.PICKUP_ORDER), shape));

        Rig.Scheduler scheduler = rig.start("plumpost-durable", Rig.TROUBLE ? free : strict);
        Web.awaitReady(rig, http, 20_000);
        scheduler.awaitLog("acknowledged by the leader", 20_000);
        if (Rig.TROUBLE) {
            Files.writeString(scheduler.config, without);
            scheduler.signal("HUP");
            scheduler.awaitLog("SIGHUP: the file is applied", 3000);
            Rig.sleep(3000);
            Files.writeString(scheduler.config, strict);
            scheduler.signal("HUP");
            Rig.sleep(200);
        }
        Rig.sleep(3000); // the page: a class that appears is in use after 1.2 s

        Map<String, Integer> runs = new ConcurrentHashMap<>();
        for (int i = 0; i < JOBS + 3; i++) {
            Gearman.worker(gearman, "worker-" + i, List.of("route-plan"), (connection, handle, function, unique, data) -> {
                String job = new String(data);
                int run = runs.merge(job, 1, Integer::sum);
                rig.note(job + " begins to run under " + handle + ", for time " + run);
                if (run > 1) {
                    breaches.add(job + " of a class that must not run twice ran " + run + " times");
                }
                Rig.sleep(300);
                if (run == 1) {
                    rig.note("the worker drops its connection in the middle of " + job);
                    connection.close();
                    return null;
                }
                return Gearman.bytes("done");
            });
        }
        Rig.sleep(1500);
        try (Gearman client = new Gearman(gearman)) {
            for (int i = 1; i <= JOBS; i++) {
                String job = "job " + i;
                String handle = client.submit(Gearman.SUBMIT_JOB, "route-plan", "key-" + i, Gearman.bytes(job));
                rig.note(job + " is taken as " + handle);
                Gearman.Packet packet = client.read(9000);
                rig.note("its client got " + (packet == null ? "nothing" : "packet " + packet.type()));
            }
        }
        Rig.sleep(10_000);
        if (runs.size() < JOBS) {
            throw new Rig.CannotRun("not all jobs ran: " + runs);
        }
        return breaches;
    }
}
