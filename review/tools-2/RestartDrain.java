import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A scheduler with the section peers is told to end (SIGTERM), and a route node begins to drain while it serves on. */
final class RestartDrain {
    private static final double GRACE_MS = 400 + 50;
    private static final int CLIENTS = 6;

    public static void main(String[] args) {
        Rig.run(args, RestartDrain::play);
    }

    private static List<String> play(Rig rig) throws Exception {
        List<String> breaches = Collections.synchronizedList(new ArrayList<>());
        double[] drainAt = {Double.NaN};
        AtomicInteger inTime = new AtomicInteger();
        ServerSocket stays = Web.routeNode("s-stays", request -> {
            Rig.sleep(30);
            return "stays";
        });
        ServerSocket drains = Web.routeNode("s-drains", request -> {
            double lateMs = rig.nowMs() - drainAt[0];
            if (lateMs > GRACE_MS) {
                breaches.add("s-drains was sent " + request.field("x-txn") + " " + Math.round(lateMs)
                        + " ms after discovery's agent said that it drains");
            } else {
                inTime.incrementAndGet();
            }
            Rig.sleep(30);
            return "drains";
        });
        Web.Discovery agent = new Web.Discovery(List.of(
                Web.entry("s-stays", stays.getLocalPort(), "plant-1", "up", 0),
                Web.entry("s-drains", drains.getLocalPort(), "plant-1", "up", 0)));
        int http = Rig.freePort();
        Rig.Scheduler scheduler = rig.start(
                "plumpost-durable",
                Configs.node(
                        "plumpost-durable",
                        http,
                        "\"discovery\":\"127.0.0.1:" + agent.port() + "\","
                                + Configs.gearman(Rig.freePort()).replace("\"model\":\"gearman\"", "\"model\":\"large\"") + ","
                                + Configs.alone(rig, "plumpost-durable", "\"pickup-order\""),
                        Configs.settings(List.of(Configs.ROUTE_PLAN, Configs.PICKUP_ORDER), "\"large\"")
                                .replace("on_request", "pushed")));
        Web.awaitReady(rig, http, 30_000);
        scheduler.awaitLog("acknowledged by the leader", 20_000);
        Rig.sleep(1500);

        AtomicInteger served = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        boolean[] over = new boolean[1];
        for (int i = 0; i < CLIENTS; i++) {
            Web.daemon(() -> {
                try (Web.Client client = new Web.Client(http)) {
                    while (!over[0]) {
                        String id = String.format("%016x", 0x5c00000000000000L + sent.incrementAndGet());
                        Web.Message answer = client.job("route-plan", id, 8000, "plan");
                        if (answer == null) {
                            return; // the scheduler has ended the connection between two requests
                        }
                        served.addAndGet(answer.status() == 200 ? 1 : 0);
                        Rig.sleep(100);
                    }
                }
            });
        }
        Rig.sleep(2000);
        rig.note(served + " jobs were served so far");
        if (Rig.TROUBLE) {
            scheduler.signal("TERM");
        }
        Rig.sleep(500);
        rig.note("the agent tells that s-drains drains, on " + agent.openWatches() + " open watches");
        drainAt[0] = rig.nowMs();
        agent.change(1, Web.entry("s-drains", drains.getLocalPort(), "plant-1", "draining", 0));
        Rig.sleep(4000);
        over[0] = true;
        rig.note(served + " jobs were served in all; s-drains was sent " + inTime + " jobs up to the end of the grace, and "
                + breaches.size() + " after it");
        if (inTime.get() == 0) {
            throw new Rig.CannotRun("s-drains never got a job");
        }
        return breaches;
    }
}
