package plumpost.fleet.engine;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import plumpost.fleet.Entry;
import plumpost.fleet.FleetBook;
import plumpost.fleet.FleetLog;
import plumpost.fleet.Outcome;
import plumpost.peers.Fleet;
import plumpost.peers.Host;

/**
 * What the laboratory does inside a process that it has started with {@code -Dplumpost.lab=FOLDER}: faults between
 * processes come from outside, but what lies between two steps of one process, and the time that its disk takes, cannot
 * be hit from there. While the file {@code NAME.halt} in that folder names a boundary, such as {@code before Begin}, the
 * process's loop stands still when it comes there; while {@code NAME.disk} holds a number, each sync of the log takes
 * so many milliseconds longer. In service there are none.
 */
final class Trials {
    private static final long LOOK_MS = 20;

    private final Path halt;
    private final Path disk;
    private final Consumer<String> say;

    private Trials(Path folder, String name, Consumer<String> say) {
        halt = folder.resolve(name + ".halt");
        disk = folder.resolve(name + ".disk");
        this.say = say;
    }

    /** Those of a scheduler whose process was started by the laboratory, or null. */
    static Trials of(String name, Consumer<String> say) {
        String folder = System.getProperty("plumpost.lab");
        return folder == null ? null : new Trials(Path.of(folder), name, say);
    }

    private static String read(Path file) {
        try {
            return Files.exists(file) ? Files.readString(file).strip() : "";
        } catch (IOException e) {
            return ""; // taken away meanwhile
        }
    }

    private void at(String boundary) {
        if (!read(halt).equals(boundary)) {
            return;
        }
        say.accept("fleet: lab: halts " + boundary);
        try {
            while (read(halt).equals(boundary)) {
                Thread.sleep(LOOK_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        say.accept("fleet: lab: goes on " + boundary);
    }

    private static String kind(Entry e) {
        return e instanceof Entry.Leave l
                ? l.last() ? "Left" : "Leave"
                : e.getClass().getSimpleName();
    }

    /** A log whose entries are halted on their way in, once whoever proposes has checked all that it checks. */
    FleetLog log(FleetLog log) {
        return new FleetLog() {
            @Override
            public void propose(Entry e, Consumer<Outcome> then) {
                at("before " + kind(e));
                log.propose(e, then);
            }

            @Override
            public void beat(String name, long incarnation, double deafMs, Consumer<Boolean> then) {
                log.beat(name, incarnation, deafMs, then);
            }

            @Override
            public double behindMs() {
                return log.behindMs();
            }

            @Override
            public long syncs() {
                return log.syncs();
            }

            @Override
            public void close() {
                log.close();
            }
        };
    }

    /** An ear that is halted between an entry's agreement and what is done about it here. */
    FleetLog.Ear ear(FleetLog.Ear ear) {
        return new FleetLog.Ear() {
            @Override
            public void applied(Entry e, long term) {
                at("after " + kind(e));
                ear.applied(e, term);
            }

            @Override
            public void restored(FleetBook.Image image) {
                ear.restored(image);
            }

            @Override
            public void started() {
                ear.started();
            }

            @Override
            public void halted(String why) {
                ear.halted(why);
            }
        };
    }

    /** A scheduler that is halted just before and just after it takes a job over, all checks done. */
    Host host(Host host) {
        return new Host() {
            @Override
            public void banned(String node, boolean out) {
                host.banned(node, out);
            }

            @Override
            public Collection<String> functions() {
                return host.functions();
            }

            @Override
            public boolean run(Fleet.Job job) {
                at("before run");
                boolean taken = host.run(job);
                at("after run");
                return taken;
            }

            @Override
            public void callBack(String id) {
                host.callBack(id);
            }

            @Override
            public void told(String line) {
                host.told(line);
            }

            @Override
            public void ask(boolean itself, boolean whole) {
                host.ask(itself, whole);
            }

            @Override
            public boolean hears() {
                return host.hears();
            }
        };
    }

    /** Done when the disk has synced, as slowly as it is to. */
    CompletableFuture<Void> synced() {
        String ms = read(disk);
        CompletableFuture<Void> done = new CompletableFuture<>();
        return ms.isEmpty()
                ? CompletableFuture.completedFuture(null)
                : done.completeOnTimeout(null, Long.parseLong(ms), TimeUnit.MILLISECONDS);
    }
}
