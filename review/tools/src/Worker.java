import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * A sound Gearman worker: one job at a time, until its end even if its scheduler is gone meanwhile. Then it reports its result
 * to the next scheduler that it knows, and works for that one.
 */
final class Worker extends Thread {
    /** A run of a job by a worker. */
    record Run(String payload, String worker, String scheduler, long startedMs) {}

    private final Lab lab;
    private final String function;
    private final List<Lab.Scheduler> known;
    private final ToLongFunction<String> serviceMs;
    private final List<Run> runs;
    private int at;

    Worker(
            Lab lab,
            String name,
            String function,
            List<Lab.Scheduler> known,
            int first,
            ToLongFunction<String> serviceMs,
            List<Run> runs) {
        super(name);
        this.lab = lab;
        this.function = function;
        this.known = known;
        this.at = first;
        this.serviceMs = serviceMs;
        this.runs = runs;
        setDaemon(true);
    }

    static List<Run> runs() {
        return Collections.synchronizedList(new ArrayList<>());
    }

    @Override
    public void run() {
        String[] unreported = null;
        while (true) {
            Lab.Scheduler scheduler = known.get(at % known.size());
            try (Gearman connection = new Gearman(scheduler.gearman, 5000)) {
                connection.send(Gearman.SET_CLIENT_ID, getName());
                if (unreported != null) {
                    connection.send(Gearman.WORK_COMPLETE, unreported);
                    lab.note(getName(), "reports WORK_COMPLETE " + unreported[0] + " at " + scheduler.name);
                    unreported = null;
                }
                connection.send(Gearman.CAN_DO, function);
                while (true) {
                    connection.send(Gearman.GRAB_JOB);
                    Gearman.Packet packet = connection.next();
                    while (packet.type() == Gearman.NOOP) {
                        packet = connection.next();
                    }
                    if (packet.type() == Gearman.JOB_ASSIGN) {
                        String payload = packet.arguments().length < 3 ? "" : packet.arguments()[2];
                        String handle = packet.arguments()[0];
                        runs.add(new Run(payload, getName(), scheduler.name, lab.now()));
                        lab.note(getName(), "RUNS " + payload + " (" + handle + ", from " + scheduler.name + ")");
                        Lab.pause(serviceMs.applyAsLong(payload));
                        lab.note(getName(), "has done " + payload);
                        unreported = new String[] {handle, "result of " + payload};
                        connection.send(Gearman.WORK_COMPLETE, unreported);
                        // The scheduler's end shows at the next read or write.
                        connection.send(Gearman.PRE_SLEEP);
                    } else {
                        connection.send(Gearman.PRE_SLEEP);
                    }
                    try {
                        connection.next();
                    } catch (SocketTimeoutException e) {
                        // asks again after some seconds without a wake-up
                    }
                    unreported = null;
                }
            } catch (IOException e) {
                if (unreported != null || !scheduler.alive()) {
                    at++; // its scheduler is gone
                }
                Lab.pause(100);
            }
        }
    }
}
