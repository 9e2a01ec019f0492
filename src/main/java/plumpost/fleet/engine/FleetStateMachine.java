package plumpost.fleet.engine;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.File;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.exceptions.StateMachineException;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.MD5FileUtil;
import plumpost.fleet.Entry;
import plumpost.fleet.FleetCodec;
import plumpost.fleet.FleetEvent;
import plumpost.fleet.FleetState;
import plumpost.fleet.Outcome;

/** The Ratis state machine of the fleet: applies log entries to the fleet's state, keeps its snapshots and notifies a listener. */
final class FleetStateMachine extends BaseStateMachine {
    /** Receives the events of the log on the engine's threads. */
    interface Listener {
        /** An entry was applied to the state, under the state machine's lock. */
        void applied(Entry entry, long term);

        /** The state was replaced by a snapshot's. */
        void restored(FleetState.Snapshot snapshot);

        /** The log cannot be applied or written any more, for the given reason. */
        void halted(String reason);

        /** Returns why an entry may not be proposed now, or null if it may; called at the leader only. */
        String refusalReason(Entry entry);
    }

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final FleetState state = new FleetState();
    private final Listener listener;
    private final Function<String, String> queryHandler;
    private final LongAdder syncCount = new LongAdder();
    private final DataApi dataApi;
    private boolean halted;

    /**
     * Creates a state machine with an empty state.
     *
     * @param listener receives what is applied to the state
     * @param queryHandler answers queries (linearizable reads), under this object's lock
     * @param failpoints the failpoints of a test, or null in production
     */
    FleetStateMachine(Listener listener, Function<String, String> queryHandler, Failpoints failpoints) {
        this.listener = listener;
        this.queryHandler = queryHandler;
        dataApi = new DataApi() {
            @Override
            public CompletableFuture<Void> flush(long index) {
                syncCount.increment();
                return failpoints == null ? CompletableFuture.completedFuture(null) : failpoints.delaySync();
            }
        };
    }

    /** Returns the hook that counts the syncs of the log. The log waits for it, so that a test can simulate a slow disk here. */
    @Override
    public DataApi data() {
        return dataApi;
    }

    /** Returns the number of syncs of the log so far. */
    long syncCount() {
        return syncCount.sum();
    }

    /** Returns the fleet's state, which may be used only while this object's lock is held. */
    FleetState state() {
        return state;
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage raft) throws IOException {
        super.initialize(server, group, raft);
        getLifeCycle()
                .startAndTransition(
                        () -> {
                            storage.init(raft);
                            loadSnapshot(storage.getLatestSnapshot());
                        },
                        IOException.class);
    }

    /** Returns the index of the last entry that was applied to the state, or 0 if there is none. */
    long lastAppliedIndex() {
        TermIndex lastApplied = getLastAppliedTermIndex();
        return lastApplied == null ? 0 : lastApplied.getIndex();
    }

    /** Called before the engine installs a snapshot: nothing is applied until {@link #reinitialize}. */
    @Override
    public void pause() {
        getLifeCycle().transition(LifeCycle.State.PAUSING);
        getLifeCycle().transition(LifeCycle.State.PAUSED);
    }

    @Override
    public void reinitialize() throws IOException {
        loadSnapshot(storage.loadLatestSnapshot());
        if (getLifeCycleState() == LifeCycle.State.PAUSED) {
            getLifeCycle().transition(LifeCycle.State.STARTING);
            getLifeCycle().transition(LifeCycle.State.RUNNING);
        }
    }

    private synchronized void loadSnapshot(SingleFileSnapshotInfo snapshot) throws IOException {
        if (snapshot == null) {
            return;
        }
        File file = snapshot.getFile().getPath().toFile();
        MD5Hash expectedDigest = snapshot.getFile().getFileDigest();
        if (expectedDigest != null && !expectedDigest.equals(MD5FileUtil.computeMd5ForFile(file))) {
            throw new IOException("the snapshot " + file + " is damaged: its MD5 digest does not match");
        }
        try (InputStream in = new BufferedInputStream(new FileInputStream(file))) {
            state.restore(FleetCodec.readSnapshot(in));
        } catch (FleetCodec.UnreadableException e) {
            halt(e.getMessage() + ", in " + file);
            throw e;
        }
        setLastAppliedTermIndex(SimpleStateMachineStorage.getTermIndexFromSnapshotFile(file));
        listener.restored(state.snapshot());
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    @Override
    public long takeSnapshot() throws IOException {
        TermIndex lastApplied;
        FleetState copy = new FleetState();
        synchronized (this) {
            lastApplied = getLastAppliedTermIndex();
            if (halted || lastApplied == null || lastApplied.getIndex() < 0) {
                return -1;
            }
            copy.restore(state.snapshot());
        }
        File file = storage.getSnapshotFile(lastApplied.getTerm(), lastApplied.getIndex());
        File partial = new File(file.getPath() + ".half");
        try (FileOutputStream out = new FileOutputStream(partial)) {
            BufferedOutputStream buffered = new BufferedOutputStream(out);
            FleetCodec.writeSnapshot(copy, buffered);
            buffered.flush();
            out.getFD().sync();
        }
        Files.move(
                partial.toPath(), file.toPath(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        MD5Hash digest = MD5FileUtil.computeAndSaveMd5ForFile(file);
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), digest), lastApplied));
        return lastApplied.getIndex();
    }

    @Override
    public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
        TransactionContext transaction = super.startTransaction(request);
        try {
            String reason = listener.refusalReason(
                    FleetCodec.decodeEntry(request.getMessage().getContent().toByteArray()));
            if (reason != null) {
                transaction.setException(new StateMachineException(reason, null, false));
            }
        } catch (FleetCodec.UnreadableException e) {
            transaction.setException(
                    new StateMachineException(e.getMessage(), e, false)); // refused before it enters the log
        }
        return transaction;
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto logEntry = transaction.getLogEntry();
        byte[] bytes = logEntry.getStateMachineLogEntry().getLogData().toByteArray();
        Outcome outcome;
        synchronized (this) {
            if (halted) {
                return new CompletableFuture<>(); // an entry was skipped: none after it may be applied
            }
            try {
                Entry entry = FleetCodec.decodeEntry(bytes);
                List<FleetEvent> events = new ArrayList<>();
                outcome = state.apply(entry, logEntry.getTerm(), events);
                updateLastAppliedTermIndex(logEntry.getTerm(), logEntry.getIndex());
                listener.applied(entry, logEntry.getTerm());
            } catch (FleetCodec.UnreadableException e) {
                halt(e.getMessage() + ", at " + logEntry.getTerm() + ":" + logEntry.getIndex() + " of the log");
                return new CompletableFuture<>();
            }
        }
        return CompletableFuture.completedFuture(Message.valueOf(ByteString.copyFrom(FleetCodec.encode(outcome))));
    }

    /**
     * Halts this member when its log cannot be written. The engine closes such a log but stays leader, and the fleet would
     * wait for it forever.
     */
    @Override
    public void notifyLogFailed(Throwable cause, LogEntryProto entry) {
        listener.halted("its log cannot be written: " + cause);
    }

    private void halt(String reason) {
        halted = true;
        listener.halted(reason);
    }

    @Override
    public CompletableFuture<Message> query(Message query) {
        synchronized (this) {
            return CompletableFuture.completedFuture(
                    Message.valueOf(queryHandler.apply(query.getContent().toStringUtf8())));
        }
    }
}
