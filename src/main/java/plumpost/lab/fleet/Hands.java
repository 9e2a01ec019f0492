package plumpost.lab.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import plumpost.gearman.Packet;
import plumpost.gearman.Packet.Type;

/**
 * Workers at one process, each a connection of its own that comes back: they write down each run by the job's data, and
 * work for a while. With them a desk that hands scheduled jobs in and writes down what it is told.
 */
public final class Hands implements Closeable {
    private final FleetLab.One at;
    private final History history;
    private final String[] functions;
    private final int workMs;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;

    /** So many workers for some functions, each of which works so long on a job. */
    public Hands(FleetLab.One at, History history, int workers, int workMs, String... functions) {
        this.at = at;
        this.history = history;
        this.functions = functions;
        this.workMs = workMs;
        for (int i = 0; i < workers; i++) {
            Thread t = new Thread(this::work, "hand at " + at.name());
            t.setDaemon(true);
            threads.add(t);
            t.start();
        }
    }

    private void work() {
        while (!over) {
            try (Peer p = new Peer(at.gearman(), 2000)) {
                for (String f : functions) {
                    p.send(Type.CAN_DO, f);
                }
                serve(p);
            } catch (IOException e) {
                pause(50);
            }
        }
    }

    private void serve(Peer p) throws IOException {
        while (!over) {
            p.send(Type.GRAB_JOB);
            Packet got = p.next();
            if (got.type() == Type.JOB_ASSIGN) {
                history.add(at.name(), "run", got.text(2));
                pause(workMs);
                p.send(Type.WORK_COMPLETE, got.text(0), "done");
            } else if (got.type() == Type.NO_JOB) {
                p.send(Type.PRE_SLEEP);
                try {
                    got = p.next(); // a NOOP, or nothing for so long that it looks again
                } catch (java.net.SocketTimeoutException e) {
                    continue;
                }
            }
        }
    }

    private static void pause(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Hands a job in that starts at a time (Unix seconds); its handle, or null where it was not taken. */
    public static String plan(FleetLab.One at, History history, String function, String key, long atS) {
        try (Peer p = new Peer(at.gearman(), 5000)) {
            p.send(Type.SUBMIT_JOB_EPOCH, function, key, atS, key);
            Packet got = p.next();
            boolean taken = got.type() == Type.JOB_CREATED;
            history.add(at.name(), "function", key + " " + function);
            if (taken) {
                history.add(at.name(), "handle", key + " " + got.text(0));
            }
            history.add(
                    at.name(),
                    taken ? "taken" : "not taken",
                    key + (taken ? "" : " " + got.text(0) + " " + got.text(1)));
            return taken ? got.text(0) : null;
        } catch (IOException e) {
            history.add(at.name(), "unanswered", key);
            return null;
        }
    }

    /** Hands a background job in; its handle, or null where it was not taken. */
    public static String leave(FleetLab.One at, History history, String function, String key) {
        try (Peer p = new Peer(at.gearman(), 5000)) {
            p.send(Type.SUBMIT_JOB_BG, function, key, key);
            Packet got = p.next();
            history.add(at.name(), got.type() == Type.JOB_CREATED ? "taken" : "not taken", key + " " + got.text(0));
            return got.type() == Type.JOB_CREATED ? got.text(0) : null;
        } catch (IOException e) {
            history.add(at.name(), "unanswered", key);
            return null;
        }
    }

    /** Hands a job in and waits for its end: the final packet's type, or that of the first answer, or null for neither. */
    public static String call(FleetLab.One at, History history, String function, String key, int patienceMs) {
        try (Peer p = new Peer(at.gearman(), patienceMs)) {
            p.send(Type.SUBMIT_JOB, function, key, key);
            Packet got = p.next();
            String first = got.type().name();
            if (got.type() == Type.JOB_CREATED) {
                history.add(at.name(), "joined", key + " " + got.text(0));
            }
            while (got.type() == Type.JOB_CREATED
                    || got.type() == Type.WORK_STATUS
                    || got.type() == Type.WORK_WARNING) {
                got = p.next();
            }
            history.add(
                    at.name(), "answered", key + " " + got.type() + (first.equals("ERROR") ? " " + got.text(1) : ""));
            return got.type().name();
        } catch (IOException e) {
            history.add(at.name(), "unanswered", key);
            return null;
        }
    }

    @Override
    public void close() {
        over = true;
        threads.forEach(Thread::interrupt);
    }
}
