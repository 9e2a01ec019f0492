import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;

/** One of three schedulers is restarted as planned while its clients wait for orders that the fleet goes on with. */
final class StoppedScheduler {
    private static final String FUNCTION = "order-van";
    /** SIGKILL comes no sooner after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s. */
    private static final long KILL_AFTER_MS = 3700;

    public static void main(String[] arguments) {
        Lab.main(arguments[0], StoppedScheduler::play);
    }

    private static String play(Lab lab) throws Exception {
        List<Lab.Scheduler> fleet = lab.fleet();
        List<Worker.Run> runs = Worker.runs();
        for (int i = 0; i < 3; i++) {
            new Worker(lab, "worker-" + (i + 1), FUNCTION, fleet, i, payload -> 1500, runs).start();
        }
        Lab.pause(4500); // the workers are warm
        Lab.Scheduler stopped = fleet.get(0);
        ConcurrentHashMap<String, String> ends = new ConcurrentHashMap<>();
        ConcurrentHashMap<String, Long> endedAt = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String order = "order " + i;
            Thread client = new Thread(
                    () -> {
                        String end = client(lab, stopped, order);
                        endedAt.put(order, lab.now());
                        ends.put(order, end);
                    },
                    "client-" + i);
            client.setDaemon(true);
            clients.add(client);
            client.start();
            Lab.pause(50);
        }
        Lab.pause(500);
        long terminatedAt = lab.now();
        boolean endedByItself = false;
        if (lab.trouble) {
            stopped.terminate();
            endedByItself = stopped.awaitEnd(KILL_AFTER_MS);
            lab.note(stopped.name, endedByItself ? "has ended " + (lab.now() - terminatedAt) + " ms after SIGTERM" : "still runs");
            if (!endedByItself) {
                stopped.kill();
            }
        }
        for (Thread client : clients) {
            client.join(25_000);
        }
        Lab.pause(3000);
        String broken = null;
        for (int i = 0; i < 3; i++) {
            String order = "order " + i;
            String end = ends.getOrDefault(order, "nothing");
            lab.note("judge", order + ": " + end + ", ran "
                    + runs.stream().filter(run -> run.payload().equals(order)).count() + " times");
            boolean byScheduler = endedByItself && endedAt.getOrDefault(order, 0L) < terminatedAt + KILL_AFTER_MS;
            if (!end.startsWith("WORK_") && (byScheduler || !lab.trouble)) {
                broken = (broken == null ? "" : broken + "; ") + order + " was taken and got no final answer";
            }
        }
        return broken;
    }

    /** Hands in an order and waits for its final answer; returns what ended the wait. */
    private static String client(Lab lab, Lab.Scheduler scheduler, String order) {
        String me = Thread.currentThread().getName();
        boolean taken = false;
        try (Gearman connection = new Gearman(scheduler.gearman, 22_000)) {
            connection.send(Gearman.SUBMIT_JOB, FUNCTION, order, order);
            lab.note(me, "SUBMIT_JOB " + order + " at " + scheduler.name);
            while (true) {
                Gearman.Packet answer = connection.next();
                lab.note(me, "gets " + answer);
                taken |= answer.type() == Gearman.JOB_CREATED;
                if (answer.type() != Gearman.JOB_CREATED && answer.type() != Gearman.WORK_STATUS) {
                    return answer.name();
                }
            }
        } catch (IOException e) {
            lab.note(me, "the connection has ended: " + e);
            return (taken ? "taken, then " : "") + "the connection ended";
        }
    }
}
