import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The machine of the scheduler that leads the fleet vanishes for some seconds. Clients hand orders in at another scheduler; who
 * is told an error tries again after the time that it names.
 */
final class RefusedOrder {
    private static final String FUNCTION = "order-van";
    private static final int ORDERS = 12;
    private static final Pattern TRY_AGAIN = Pattern.compile("try again after ([0-9]+) ms");

    public static void main(String[] arguments) {
        Lab.main(arguments[0], RefusedOrder::play);
    }

    private static String play(Lab lab) throws Exception {
        List<Lab.Scheduler> fleet = lab.fleet();
        Lab.pause(1000);
        String shown = lab.fleetShow(fleet.get(0));
        Matcher matcher = Pattern.compile("\"leader\" *: *\"([^\"]*)\"").matcher(shown);
        if (!matcher.find()) {
            throw new Lab.CannotRun("fleet show names no leader: " + shown);
        }
        String leaderName = matcher.group(1);
        lab.note("lab", "the leader is " + leaderName);
        Lab.Scheduler leader = fleet.stream()
                .filter(scheduler -> scheduler.name.equals(leaderName))
                .findFirst()
                .orElseThrow(() -> new Lab.CannotRun("no leader: " + leaderName));
        // Only the other plants have workers for these orders.
        List<Lab.Scheduler> others =
                fleet.stream().filter(scheduler -> scheduler != leader).toList();
        List<Worker.Run> runs = Worker.runs();
        for (int i = 0; i < 2; i++) {
            for (int j = 1; j <= 2; j++) {
                new Worker(lab, "worker-" + (i + 1) + j, FUNCTION, others, i, payload -> 1200, runs).start();
            }
        }
        Lab.pause(4500); // the workers are warm
        Lab.Scheduler front = others.get(0);
        long stoppedAt = lab.now();
        if (lab.trouble) {
            leader.stop();
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < ORDERS; i++) {
            String order = "order " + i;
            Thread client = new Thread(() -> client(lab, front, order), "client-" + i);
            client.setDaemon(true);
            clients.add(client);
            client.start();
            Lab.pause(i < 8 ? 60 : 400);
        }
        if (lab.trouble) {
            Lab.pause(stoppedAt + 5000 - lab.now());
            leader.kill(); // the machine is back: its old connections are reset, its process starts anew
            leader.start();
        }
        for (Thread client : clients) {
            client.join(45_000);
        }
        Lab.pause(8000);
        String broken = null;
        for (int i = 0; i < ORDERS; i++) {
            String order = "order " + i;
            long count = runs.stream().filter(run -> run.payload().equals(order)).count();
            lab.note("judge", order + " ran " + count + " times");
            if (count > 1) {
                broken = (broken == null ? "" : broken + "; ") + order + " has run " + count + " times";
            }
        }
        return broken;
    }

    /** Hands in an order without a unique key, and again only where it was told an error, after the time that it names. */
    private static void client(Lab lab, Lab.Scheduler scheduler, String order) {
        String me = Thread.currentThread().getName();
        try (Gearman connection = new Gearman(scheduler.gearman, 25_000)) {
            for (int attempt = 0; attempt <= 3; attempt++) {
                connection.send(Gearman.SUBMIT_JOB, FUNCTION, "", order);
                lab.note(me, "SUBMIT_JOB " + order + " at " + scheduler.name);
                Gearman.Packet answer = connection.next();
                lab.note(me, "gets " + answer);
                if (answer.type() == Gearman.JOB_CREATED) {
                    while (answer.type() == Gearman.JOB_CREATED || answer.type() == Gearman.WORK_STATUS) {
                        answer = connection.next();
                    }
                    lab.note(me, "gets " + answer);
                    return;
                }
                Matcher after = TRY_AGAIN.matcher(answer.toString());
                if (answer.type() != Gearman.ERROR || !after.find()) {
                    return;
                }
                Lab.pause(Long.parseLong(after.group(1)));
            }
        } catch (IOException e) {
            lab.note(me, "without an answer: " + e);
        }
    }
}
