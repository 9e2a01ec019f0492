import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;

/** An order is acknowledged soon after the first start of three schedulers, and the one that has it is killed. */
final class Founding {
    private static final String FUNCTION = "order-van";

    public static void main(String[] arguments) {
        long afterReadyMs = arguments.length > 1 ? Long.parseLong(arguments[1]) : 0;
        int at = arguments.length > 2 ? Integer.parseInt(arguments[2]) : 0;
        Lab.main(arguments[0], lab -> play(lab, afterReadyMs, at));
    }

    private static String play(Lab lab, long afterReadyMs, int at) throws Exception {
        List<Lab.Scheduler> fleet = lab.startFleet();
        for (Lab.Scheduler scheduler : fleet) {
            for (long until = lab.now() + 30_000; !Files.readString(scheduler.log).contains("ready, http"); Lab.pause(10)) {
                if (lab.now() > until || !scheduler.alive()) {
                    throw new Lab.CannotRun(scheduler.name + " does not start: " + scheduler.tail());
                }
            }
            lab.note(scheduler.name, "has logged ready");
        }
        Lab.pause(afterReadyMs);
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < 40 && taken.size() < 3; i++) {
            String order = "order " + i;
            try (Gearman client = new Gearman(fleet.get(at).gearman, 5000)) {
                client.send(Gearman.SUBMIT_JOB_BG, FUNCTION, order, order);
                Gearman.Packet answer = client.next();
                lab.note("client", order + " gets " + answer);
                if (answer.type() == Gearman.JOB_CREATED) {
                    taken.add(order);
                } else {
                    Lab.pause(250);
                }
            } catch (IOException e) {
                lab.note("client", order + " gets " + e);
                Lab.pause(250);
            }
        }
        if (taken.isEmpty()) {
            throw new Lab.CannotRun("no order was acknowledged");
        }
        Lab.pause(1000);
        List<Worker.Run> runs = Worker.runs();
        if (lab.trouble) {
            fleet.get(at).kill();
        }
        for (int i = 0; i < 3; i++) {
            if (i != at || !lab.trouble) {
                new Worker(lab, "worker-" + (i + 1), FUNCTION, List.of(fleet.get(i)), 0, payload -> 500, runs).start();
            }
        }
        for (long until = lab.now() + 40_000; lab.now() < until && runs.size() < taken.size(); Lab.pause(50)) {
            // the orders are waited for
        }
        Lab.pause(3000);
        String broken = null;
        for (String order : taken) {
            long count = runs.stream().filter(run -> run.payload().equals(order)).count();
            lab.note("judge", order + " ran " + count + " times");
            if (count != 1) {
                broken = (broken == null ? "" : broken + "; ") + order + " was acknowledged and has run " + count + " times";
            }
        }
        return broken;
    }
}
