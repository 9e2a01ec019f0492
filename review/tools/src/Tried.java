import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** What was tried beside the cases; the report names each. Arguments: a folder for the record, and the play's name. */
final class Tried {
    private static final String FUNCTION = "order-van";

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> switch (arguments[1]) {
            case "joined-background" -> joinedBackground(lab);
            case "scheduled-and-now" -> scheduledAndNow(lab);
            case "scheduled-worker-lost" -> scheduledWorkerLost(lab);
            case "covered-running-killed" -> coveredRunningKilled(lab);
            case "late-report" -> lateReport(lab);
            case "acknowledged-then-killed" -> acknowledgedThenKilled(lab);
            default -> throw new Lab.CannotRun("no such play");
        });
    }

    private static Lab.Scheduler one(Lab lab, String file) throws IOException {
        int[] ports = Lab.freePorts(4);
        String text = Files.readString(lab.root.resolve(file))
                .replace("127.0.0.1:8000", "127.0.0.1:" + ports[0])
                .replace("127.0.0.1:4730", "127.0.0.1:" + ports[1])
                .replace("127.0.0.1:9601", "127.0.0.1:" + ports[2])
                .replace("127.0.0.1:7300", "127.0.0.1:" + ports[3])
                .replace("target/durable", lab.temp.resolve("data").toString());
        Path config = lab.temp.resolve("one.json");
        Files.writeString(config, text);
        Lab.Scheduler scheduler = lab.scheduler("plumpost-durable", config, ports[0], ports[1]);
        scheduler.start();
        scheduler.awaitReady(file.contains("durable"));
        return scheduler;
    }

    private static void awaitRun(Lab lab, List<Worker.Run> runs) {
        for (long until = lab.now() + 10_000; runs.isEmpty(); Lab.pause(10)) {
            if (lab.now() > until) {
                throw new Lab.CannotRun("no order was started");
            }
        }
    }

    /** Waits for a final packet; returns its text, or null if none comes. */
    private static String last(Lab lab, Gearman client, String who) {
        try {
            while (true) {
                Gearman.Packet packet = client.next();
                lab.note(who, "gets " + packet);
                if (packet.type() != Gearman.JOB_CREATED && packet.type() != Gearman.WORK_STATUS) {
                    return packet.toString();
                }
            }
        } catch (IOException e) {
            lab.note(who, "waits in vain: " + e);
            return null;
        }
    }

    /** A worker hangs with a background order; its client comes again in the foreground under the same key. */
    private static String joinedBackground(Lab lab) throws Exception {
        Lab.Scheduler scheduler = one(lab, "deploy/gearman.json");
        List<Worker.Run> runs = Worker.runs();
        new Worker(lab, "worker", FUNCTION, List.of(scheduler), 0, p -> lab.trouble ? 60_000 : 1500, runs).start();
        Lab.pause(4000);
        try (Gearman client = new Gearman(scheduler.gearman, 5000)) {
            client.send(Gearman.SUBMIT_JOB_BG, FUNCTION, "k", "order");
            lab.note("client", "gets " + client.next());
        }
        awaitRun(lab, runs);
        try (Gearman client = new Gearman(scheduler.gearman, 21_000)) { // given up after 20 s
            client.send(Gearman.SUBMIT_JOB, FUNCTION, "k", "order");
            return last(lab, client, "client") == null ? "no final answer 21 s after the order was handed in" : null;
        }
    }

    /** An order is scheduled; its client hands it in under the same key before its time. */
    private static String scheduledAndNow(Lab lab) throws Exception {
        Lab.Scheduler scheduler = one(lab, "deploy/durable.json");
        List<Worker.Run> runs = Worker.runs();
        new Worker(lab, "worker", FUNCTION, List.of(scheduler), 0, p -> 500, runs).start();
        Lab.pause(4000);
        try (Gearman client = new Gearman(scheduler.gearman, 22_000)) {
            client.send(
                    Gearman.SUBMIT_JOB_EPOCH, FUNCTION, "k", Long.toString(System.currentTimeMillis() / 1000 + 3), "order");
            lab.note("client", "gets " + client.next());
            if (lab.trouble) {
                client.send(Gearman.SUBMIT_JOB, FUNCTION, "k", "order");
                last(lab, client, "client");
            }
        }
        Lab.pause(6000);
        return runs.size() > 1 ? "the order has run " + runs.size() + " times" : null;
    }

    /** A scheduled order's worker drops its connection in the middle; its client comes again under the same key. */
    private static String scheduledWorkerLost(Lab lab) throws Exception {
        List<Lab.Scheduler> fleet = lab.fleet();
        List<Worker.Run> runs = Worker.runs();
        new Worker(lab, "worker-2", FUNCTION, fleet, 1, p -> 1500, runs).start();
        try (Gearman worker = new Gearman(fleet.get(0).gearman, 20_000)) {
            worker.send(Gearman.CAN_DO, FUNCTION);
            worker.send(Gearman.PRE_SLEEP);
            Lab.pause(4500);
            submitScheduled(lab, fleet.get(0));
            Gearman.Packet packet = worker.next();
            while (packet.type() != Gearman.JOB_ASSIGN) {
                worker.send(packet.type() == Gearman.NO_JOB ? Gearman.PRE_SLEEP : Gearman.GRAB_JOB);
                packet = worker.next();
            }
            String handle = packet.arguments()[0];
            runs.add(new Worker.Run("order", "worker-1", "scheduler-1", lab.now()));
            lab.note("worker-1", "RUNS order");
            Lab.pause(500);
            if (!lab.trouble) {
                Lab.pause(1000);
                worker.send(Gearman.WORK_COMPLETE, handle, "done");
                worker.send(Gearman.PRE_SLEEP);
                Lab.pause(1000);
                submitScheduled(lab, fleet.get(1));
                Lab.pause(6000);
                return runs.size() > 1 ? "the order has run " + runs.size() + " times" : null;
            }
            lab.note("worker-1", "drops its connection");
        }
        Lab.pause(2000);
        submitScheduled(lab, fleet.get(1));
        Lab.pause(6000);
        return runs.size() > 1 ? "the order has run " + runs.size() + " times" : null;
    }

    /** Issue 22's second measurement, now that the class is covered: killed while an order runs, the client comes elsewhere. */
    private static String coveredRunningKilled(Lab lab) throws Exception {
        List<Lab.Scheduler> fleet = lab.fleet();
        List<Worker.Run> runs = Worker.runs();
        for (int i = 0; i < 3; i++) {
            new Worker(lab, "worker-" + (i + 1), FUNCTION, fleet, i, p -> 1500, runs).start();
        }
        Lab.pause(4500);
        try (Gearman client = new Gearman(fleet.get(0).gearman, 20_000)) {
            client.send(Gearman.SUBMIT_JOB, FUNCTION, "k", "order");
            lab.note("client", "gets " + client.next());
            awaitRun(lab, runs);
            Lab.pause(500);
            if (lab.trouble) {
                fleet.get(0).kill();
            }
        }
        String answer = null;
        for (int i = 0; i < 6 && (answer == null || answer.startsWith("ERROR")); i++) {
            Lab.pause(2000);
            try (Gearman client = new Gearman(fleet.get(1).gearman, 25_000)) {
                client.send(Gearman.SUBMIT_JOB, FUNCTION, "k", "order");
                answer = last(lab, client, "client");
            }
        }
        lab.note("judge", "ran " + runs.size() + " times, answered " + answer);
        return runs.size() > 1 || answer == null ? "ran " + runs.size() + " times, answered " + answer : null;
    }

    private static void submitScheduled(Lab lab, Lab.Scheduler scheduler) throws IOException {
        try (Gearman client = new Gearman(scheduler.gearman, 5000)) {
            client.send(
                    Gearman.SUBMIT_JOB_EPOCH, FUNCTION, "k", Long.toString(System.currentTimeMillis() / 1000 + 1), "order");
            lab.note("client", "gets " + client.next());
        }
    }

    /** The scheduler is killed while an order runs and is back after 2.5 s; its worker reports as soon as it can connect. */
    private static String lateReport(Lab lab) throws Exception {
        Lab.Scheduler scheduler = one(lab, "deploy/durable.json");
        List<Worker.Run> runs = Worker.runs();
        new Worker(lab, "worker", FUNCTION, List.of(scheduler), 0, p -> 1500, runs).start();
        Lab.pause(4000);
        try (Gearman client = new Gearman(scheduler.gearman, 5000)) {
            client.send(Gearman.SUBMIT_JOB, FUNCTION, "k", "order");
            lab.note("client", "gets " + client.next());
            awaitRun(lab, runs);
            Lab.pause(500);
            if (lab.trouble) {
                scheduler.kill();
                Lab.pause(2500);
                scheduler.start();
                scheduler.awaitReady(true);
            }
        }
        String answer = null;
        for (int i = 0; i < 5 && answer == null; i++) {
            Lab.pause(1500);
            try (Gearman client = new Gearman(scheduler.gearman, 22_000)) {
                client.send(Gearman.SUBMIT_JOB, FUNCTION, "k", "order");
                answer = last(lab, client, "client");
            }
            answer = answer != null && answer.startsWith("ERROR") ? null : answer;
        }
        lab.note("judge", "ran " + runs.size() + " times, answered " + answer);
        return runs.size() > 1
                ? "the order has run " + runs.size() + " times"
                : answer == null || !answer.startsWith("WORK_COMPLETE")
                        ? "the order's worker has reported its result, its client is answered " + answer
                        : null;
    }

    /** Background orders are acknowledged, and the scheduler is killed at once. */
    private static String acknowledgedThenKilled(Lab lab) throws Exception {
        Lab.Scheduler scheduler = one(lab, "deploy/durable.json");
        int taken = 0;
        for (int round = 0; round < 4; round++) {
            try (Gearman client = new Gearman(scheduler.gearman, 5000)) {
                for (int i = 0; i < 20; i++) {
                    client.send(Gearman.SUBMIT_JOB_BG, FUNCTION, "k" + taken, "order " + taken);
                    Gearman.Packet answer = client.next();
                    lab.note("client", "gets " + answer);
                    if (answer.type() == Gearman.JOB_CREATED) {
                        taken++;
                    }
                }
            }
            if (lab.trouble) {
                scheduler.kill();
                Lab.pause(2000);
                scheduler.start();
                for (int i = 0; i < 100 && !scheduler.httpGet("/health/ready").startsWith("HTTP/1.1 200"); i++) {
                    Lab.pause(100);
                }
                Lab.pause(3000);
            }
        }
        List<Worker.Run> runs = Worker.runs();
        for (int i = 0; i < 4; i++) {
            new Worker(lab, "worker-" + i, FUNCTION, List.of(scheduler), 0, p -> 50, runs).start();
        }
        Lab.pause(25_000);
        long distinct = runs.stream().map(Worker.Run::payload).distinct().count();
        lab.note("judge", taken + " taken, " + runs.size() + " runs, of " + distinct);
        return distinct < taken || runs.size() > distinct ? taken + " taken, " + runs.size() + " runs of " + distinct : null;
    }
}
