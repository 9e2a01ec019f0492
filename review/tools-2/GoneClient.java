import java.util.ArrayList;
import java.util.List;

/** A Gearman client that leaves while the worker that was woken for its order has not grabbed it yet. */
final class GoneClient {
    private static final double GRAB_AFTER_MS = 600;
    private static final double GRACE_MS = 100 + 50;

    public static void main(String[] args) {
        Rig.run(args, GoneClient::play);
    }

    private static List<String> play(Rig rig) throws Exception {
        List<String> breaches = new ArrayList<>();
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
        Gearman client = new Gearman(gearman);
        try (Gearman worker = new Gearman(gearman)) {
            worker.send(Gearman.CAN_DO, "order-van");
            worker.send(Gearman.GRAB_JOB_UNIQ);
            worker.read(2000); // NO_JOB
            worker.send(Gearman.PRE_SLEEP);
            Rig.sleep(2500);
            rig.note("the order is taken as " + client.submit(Gearman.SUBMIT_JOB, "order-van", "key", Gearman.bytes("order")));
            Rig.sleep(50);
            if (Rig.TROUBLE) {
                client.close();
            }
            double leftAt = rig.nowMs();
            Gearman.Packet wakeUp = worker.read(2000);
            rig.note("the worker got packet " + (wakeUp == null ? "none" : wakeUp.type()) + " and grabs after " + GRAB_AFTER_MS + " ms");
            Rig.sleep(GRAB_AFTER_MS);
            worker.send(Gearman.GRAB_JOB_UNIQ);
            Gearman.Packet answer = worker.read(3000);
            double afterMs = rig.nowMs() - leftAt;
            rig.note("the worker got packet " + (answer == null ? "none" : answer.type()) + ", " + Math.round(afterMs)
                    + " ms after " + (Rig.TROUBLE ? "the client closed its connection" : "that time"));
            if (Rig.TROUBLE && answer != null && answer.type() == Gearman.JOB_ASSIGN_UNIQ && afterMs > GRACE_MS) {
                breaches.add("an attempt began " + Math.round(afterMs) + " ms after its only client had closed its connection");
            }
        }
        return breaches;
    }
}
