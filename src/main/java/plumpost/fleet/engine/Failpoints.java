package plumpost.fleet.engine;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import plumpost.fleet.Entry;
import plumpost.fleet.FleetLog;
import plumpost.fleet.FleetState;
import plumpost.peers.Fleet;
import plumpost.peers.Host;

/**
 * Failpoints for tests, enabled by {@code -Dplumpost.lab=FOLDER}. Faults between processes are injected from outside, but a
 * stop between two steps of one process, or a slow disk, cannot be. While the file {@code NAME.halt} in that folder names a
 * boundary such as {@code before Begin}, the process's event loop blocks when it reaches that boundary; while
 * {@code NAME.disk} holds a number, each sync of the log takes that many milliseconds longer. Never enabled in production.
 */
final class Failpoints {
    private static final long POLL_INTERVAL_MS = 20;

    private final Path haltFile;
    private final Path diskFile;
    private final Consumer<String> logLine;

    private Failpoints(Path directory, String name, Consumer<String> logLine) {
        haltFile = directory.resolve(name + ".halt");
        diskFile = directory.resolve(name + ".disk");
        this.logLine = logLine;
    }

    /** Returns the failpoints of a scheduler, or null if the system property is not set. */
    static Failpoints create(String name, Consumer<String> logLine) {
        String directory = System.getProperty("plumpost.lab");
        return directory == null ? null : new Failpoints(Path.of(directory), name, logLine);
    }

    private static String read(Path file) {
        try {
            return Files.exists(file) ? Files.readString(file).strip() : "";
        } catch (IOException e) {
            return ""; // the file was deleted in the meantime
        }
    }

    private void haltAt(String boundary) {
        if (!read(haltFile).equals(boundary)) {
            return;
        }
        logLine.accept("fleet: lab: halts " + boundary);
        try {
            while (read(haltFile).equals(boundary)) {
                Thread.sleep(POLL_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        logLine.accept("fleet: lab: goes on " + boundary);
    }

    private static String entryName(Entry entry) {
        return entry instanceof Entry.Leave leave
                ? leave.last() ? "Left" : "Leave"
                : entry.getClass().getSimpleName();
    }

    /** Wraps a log so that it can block before an entry is proposed, after all checks of the proposer. */
    FleetLog wrapLog(FleetLog delegate) {
        return new FleetLog() {
            @Override
            public void propose(Entry entry, ProposalListener listener) {
                haltAt("before " + entryName(entry));
                delegate.propose(entry, listener);
            }

            @Override
            public void sendHeartbeat(
                    String name, long incarnation, double msWithoutLeader, Consumer<Boolean> onResult) {
                delegate.sendHeartbeat(name, incarnation, msWithoutLeader, onResult);
            }

            @Override
            public double behindMs() {
                return delegate.behindMs();
            }

            @Override
            public long syncs() {
                return delegate.syncs();
            }

            @Override
            public void close() {
                delegate.close();
            }
        };
    }

    /** Wraps a listener so that it can block after an entry is committed and before it takes effect here. */
    FleetLog.Listener wrapListener(FleetLog.Listener delegate) {
        return new FleetLog.Listener() {
            @Override
            public void applied(Entry entry, long term) {
                haltAt("after " + entryName(entry));
                delegate.applied(entry, term);
            }

            @Override
            public void restored(FleetState.Snapshot image) {
                delegate.restored(image);
            }

            @Override
            public void started() {
                delegate.started();
            }

            @Override
            public void halted(String reason) {
                delegate.halted(reason);
            }
        };
    }

    /** Wraps a host so that it can block just before and just after it takes over a job, after all checks. */
    Host wrapHost(Host delegate) {
        return new Host() {
            @Override
            public void banned(String node, boolean offline) {
                delegate.banned(node, offline);
            }

            @Override
            public Collection<String> functions() {
                return delegate.functions();
            }

            @Override
            public boolean run(Fleet.Job job) {
                haltAt("before run");
                boolean taken = delegate.run(job);
                haltAt("after run");
                return taken;
            }

            @Override
            public void callBack(String id) {
                delegate.callBack(id);
            }

            @Override
            public void onNodeListLine(String line) {
                delegate.onNodeListLine(line);
            }

            @Override
            public void setDiscoveryQueries(boolean itself, boolean whole) {
                delegate.setDiscoveryQueries(itself, whole);
            }

            @Override
            public boolean discoveryAnswers() {
                return delegate.discoveryAnswers();
            }
        };
    }

    /** Returns a future that completes after the additional time that a sync is to take. */
    CompletableFuture<Void> delaySync() {
        String delayMs = read(diskFile);
        CompletableFuture<Void> synced = new CompletableFuture<>();
        return delayMs.isEmpty()
                ? CompletableFuture.completedFuture(null)
                : synced.completeOnTimeout(null, Long.parseLong(delayMs), TimeUnit.MILLISECONDS);
    }
}
