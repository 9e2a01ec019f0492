import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A class that appears with new settings, on a scheduler that serves HTTP and Gearman side by side. */
final class SettingsAddClass {
    private static final int ROUNDS = 8;

    public static void main(String[] args) {
        Rig.run(args, SettingsAddClass::play);
    }

    private static List<String> play(Rig rig) throws Exception {
        List<String> breaches = Collections.synchronizedList(new ArrayList<>());
        Set<String> httpSent = ConcurrentHashMap.newKeySet();
        Set<String> gearmanSent = ConcurrentHashMap.newKeySet();
        int http = Rig.freePort();
        int gearman = Rig.freePort();

        ServerSocket node = Web.routeNode("s-route", request -> {
            String id = request.field("x-txn");
            rig.note("route node runs " + request.start() + " id " + id + " body " + request.text());
            if (!httpSent.contains(id)) {
                breaches.add("the route node was sent " + request.start() + " under the id " + id
                        + ", which no client sent; its body is " + request.text());
            }
            Rig.sleep(20);
            return "route-result-of-" + request.text();
        });
        Web.Discovery discovery =
                new Web.Discovery(List.of(Web.entry("s-route", node.getLocalPort(), "plant-1", "up", 0)));
        String parts = "\"discovery\":\"127.0.0.1:" + discovery.port() + "\"," + Configs.gearman(gearman);
        String shapes = "\"gearman\",\"large\"";
        Rig.Scheduler scheduler = rig.start(
                "n1",
                Configs.node(
                        "n1", http, parts, Configs.settings(List.of(Configs.ROUTE_PLAN, Configs.PICKUP_ORDER), shapes)));
        Web.awaitReady(rig, http, 15_000);
        Gearman.worker(gearman, "van-1", List.of("order-van"), (connection, handle, function, unique, data) -> {
            String order = new String(data);
            rig.note("Gearman worker runs " + function + " under " + handle + ", data " + order);
            if (!gearmanSent.contains(order)) {
                breaches.add("the Gearman worker was told to run " + function + " with the data '" + order
                        + "', which no Gearman client submitted");
            }
            Rig.sleep(20);
            return Gearman.bytes("van-sent-for-" + order);
        });
        Rig.sleep(1500); // it is warm after coldMs

        if (Rig.TROUBLE) {
            java.nio.file.Files.writeString(
                    scheduler.config,
                    Configs.node(
                            "n1",
                            http,
                            parts,
                            Configs.settings(
                                    List.of(
                                            Configs.ROUTE_PLAN,
                                            Configs.PICKUP_ORDER,
                                            Configs.jobClass("route-plan-r2", 600, 8000, "free", 1)),
                                    shapes)));
            scheduler.signal("HUP");
            scheduler.awaitLog("the file is applied", 3000);
        }
        Rig.sleep(1500); // the page: a class that appears is in use after 1.2 s

        try (Gearman client = new Gearman(gearman)) {
            for (int i = 0; i < ROUNDS; i++) {
                String jobClass = Rig.TROUBLE ? "route-plan-r2" : "route-plan";
                String id = String.format("%016x", 0x9b1f03aa00000000L + i);
                String body = "http-job-" + i;
                httpSent.add(id);
                Web.Message answer = Web.job(http, jobClass, id, 8000, body);
                rig.note("HTTP client sent " + jobClass + " " + id + " body " + body + ", got "
                        + (answer == null ? "no answer" : answer.status() + " " + answer.text()));
                if (answer != null && answer.status() == 200 && !answer.text().equals("route-result-of-" + body)) {
                    breaches.add("the HTTP client of " + id + " got 200 with '" + answer.text()
                            + "', which no route node made for it");
                }
                String order = "gearman-order-" + i;
                gearmanSent.add(order);
                String handle = client.submit(Gearman.SUBMIT_JOB, "order-van", "key-" + i, Gearman.bytes(order));
                Gearman.Packet packet = client.read(21_000);
                rig.note("Gearman client submitted order-van " + order + ", handle " + handle + ", got "
                        + (packet == null ? "nothing" : "packet " + packet.type() + " " + packet.text(packet.arguments().size() - 1)));
                if (packet != null
                        && packet.type() == Gearman.WORK_COMPLETE
                        && !packet.text(1).equals("van-sent-for-" + order)) {
                    breaches.add("the Gearman client of " + order + " got '" + packet.text(1)
                            + "', which no Gearman worker made for it");
                }
            }
        }
        return breaches;
    }
}
