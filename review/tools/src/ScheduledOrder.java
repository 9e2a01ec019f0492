import java.io.IOException;
import java.util.List;

/** A scheduled order runs when its scheduler is killed; its client comes again under the same unique key. */
final class ScheduledOrder {
    private static final String FUNCTION = "order-van";
    private static final String KEY = "van-17";
    private static final String PAYLOAD = "order van-17";

    public static void main(String[] arguments) {
        Lab.main(arguments[0], ScheduledOrder::play);
    }

    private static String play(Lab lab) throws Exception {
        List<Lab.Scheduler> fleet = lab.fleet();
        List<Worker.Run> runs = Worker.runs();
        for (int i = 1; i < 3; i++) { // only plants 2 and 3 have workers for these orders
            // 1,000 to 2,000 ms of running on average, by the brief
            new Worker(lab, "worker-" + (i + 1), FUNCTION, fleet, i, payload -> 1500, runs).start();
        }
        Lab.pause(4500); // the workers are warm
        long epoch = System.currentTimeMillis() / 1000 + 2;
        String handle = submit(lab, fleet.get(1), epoch);
        if (handle == null) {
            throw new Lab.CannotRun("the order was not accepted");
        }
        long waitUntil = lab.now() + 10_000;
        while (runs.isEmpty()) {
            if (lab.now() > waitUntil) {
                throw new Lab.CannotRun("the order was not started");
            }
            Lab.pause(10);
        }
        Worker.Run first = runs.get(0);
        Lab.Scheduler runner = fleet.stream()
                .filter(scheduler -> scheduler.name.equals(first.scheduler()))
                .findFirst()
                .orElseThrow();
        if (runner != fleet.get(1)) {
            throw new Lab.CannotRun("the order runs at " + runner.name + ", not where its client is connected");
        }
        Lab.pause(500);
        if (lab.trouble) {
            runner.kill();
        }
        // The front notices a dead scheduler after 1.6 to 3.9 s; then the client reaches another one.
        Lab.pause(3800);
        String second = null;
        for (int i = 0; i < 10 && second == null; i++) {
            second = submit(lab, fleet.get(2), epoch);
            if (second == null) {
                Lab.pause(1500);
            }
        }
        if (second == null) {
            throw new Lab.CannotRun("the order was not accepted again");
        }
        if (lab.trouble) {
            runner.start(); // back after 2 to 7.9 s
        }
        Lab.pause(15_000);
        long count = runs.stream().filter(run -> run.payload().equals(PAYLOAD)).count();
        lab.note("judge", "runs of " + KEY + ": " + count);
        return count > 1 ? "the order " + KEY + " has run " + count + " times" : null;
    }

    /** Schedules the order under its key; returns the handle, or null where it was not taken. */
    private static String submit(Lab lab, Lab.Scheduler scheduler, long epoch) throws IOException {
        try (Gearman client = new Gearman(scheduler.gearman, 5000)) {
            client.send(Gearman.SUBMIT_JOB_EPOCH, FUNCTION, KEY, Long.toString(epoch), PAYLOAD);
            lab.note("client", "SUBMIT_JOB_EPOCH " + FUNCTION + " key " + KEY + " at " + scheduler.name);
            Gearman.Packet answer = client.next();
            lab.note("client", "gets " + answer);
            return answer.type() == Gearman.JOB_CREATED ? answer.arguments()[0] : null;
        }
    }
}
