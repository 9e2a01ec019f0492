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
import plumpost.fleet.FleetBook;
import plumpost.fleet.FleetCodec;
import plumpost.fleet.News;
import plumpost.fleet.Outcome;

/** The engine's side of the book: applies the log to it, keeps its snapshots, and tells what was applied. */
final class BookMachine extends BaseStateMachine {
    /** Hears of the log on the engine's threads. */
    interface Listener {
        void applied(Entry e, long term);

        void restored(FleetBook.Image image);

        void halted(String why);

        /** Why an entry may not be proposed now, or null: asked at the leader only. */
        String refuses(Entry e);
    }

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final FleetBook book = new FleetBook();
    private final Listener listener;
    private final Function<String, String> questions;
    private final LongAdder syncs = new LongAdder();
    private final DataApi data;
    private boolean halted;

    /** A machine whose questions (reads at the leader) are answered by the given function, under its lock; trials may be null. */
    BookMachine(Listener listener, Function<String, String> questions, Trials trials) {
        this.listener = listener;
        this.questions = questions;
        data = new DataApi() {
            @Override
            public CompletableFuture<Void> flush(long index) {
                syncs.increment();
                return trials == null ? CompletableFuture.completedFuture(null) : trials.synced();
            }
        };
    }

    /** Hears of each sync of the log, which waits for the answer too: the laboratory makes a disk slow here. */
    @Override
    public DataApi data() {
        return data;
    }

    /** How often the log was synced. */
    long syncs() {
        return syncs.sum();
    }

    /** The book; touched only while this machine's lock is held. */
    FleetBook book() {
        return book;
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage raft) throws IOException {
        super.initialize(server, group, raft);
        getLifeCycle()
                .startAndTransition(
                        () -> {
                            storage.init(raft);
                            load(storage.getLatestSnapshot());
                        },
                        IOException.class);
    }

    /** The index of the last entry that is in the book. */
    long at() {
        TermIndex at = getLastAppliedTermIndex();
        return at == null ? 0 : at.getIndex();
    }

    /** The engine installs a snapshot: until {@link #reinitialize} nothing is applied. */
    @Override
    public void pause() {
        getLifeCycle().transition(LifeCycle.State.PAUSING);
        getLifeCycle().transition(LifeCycle.State.PAUSED);
    }

    @Override
    public void reinitialize() throws IOException {
        load(storage.loadLatestSnapshot());
        if (getLifeCycleState() == LifeCycle.State.PAUSED) {
            getLifeCycle().transition(LifeCycle.State.STARTING);
            getLifeCycle().transition(LifeCycle.State.RUNNING);
        }
    }

    private synchronized void load(SingleFileSnapshotInfo snapshot) throws IOException {
        if (snapshot == null) {
            return;
        }
        File file = snapshot.getFile().getPath().toFile();
        MD5Hash told = snapshot.getFile().getFileDigest();
        if (told != null && !told.equals(MD5FileUtil.computeMd5ForFile(file))) {
            throw new IOException("the snapshot " + file + " is damaged: its digest is another");
        }
        try (InputStream in = new BufferedInputStream(new FileInputStream(file))) {
            book.restore(FleetCodec.snapshot(in));
        } catch (FleetCodec.Unreadable e) {
            halt(e.getMessage() + ", in " + file);
            throw e;
        }
        setLastAppliedTermIndex(SimpleStateMachineStorage.getTermIndexFromSnapshotFile(file));
        listener.restored(book.image());
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    @Override
    public long takeSnapshot() throws IOException {
        TermIndex at;
        FleetBook copy = new FleetBook();
        synchronized (this) {
            at = getLastAppliedTermIndex();
            if (halted || at == null || at.getIndex() < 0) {
                return -1;
            }
            copy.restore(book.image());
        }
        File file = storage.getSnapshotFile(at.getTerm(), at.getIndex());
        File half = new File(file.getPath() + ".half");
        try (FileOutputStream out = new FileOutputStream(half)) {
            BufferedOutputStream buffered = new BufferedOutputStream(out);
            FleetCodec.write(copy, buffered);
            buffered.flush();
            out.getFD().sync();
        }
        Files.move(half.toPath(), file.toPath(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        MD5Hash digest = MD5FileUtil.computeAndSaveMd5ForFile(file);
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), digest), at));
        return at.getIndex();
    }

    @Override
    public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
        TransactionContext t = super.startTransaction(request);
        try {
            String why = listener.refuses(
                    FleetCodec.entry(request.getMessage().getContent().toByteArray()));
            if (why != null) {
                t.setException(new StateMachineException(why, null, false));
            }
        } catch (FleetCodec.Unreadable e) {
            t.setException(new StateMachineException(e.getMessage(), e, false)); // before it is in the log
        }
        return t;
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext t) {
        LogEntryProto log = t.getLogEntry();
        byte[] bytes = log.getStateMachineLogEntry().getLogData().toByteArray();
        Outcome o;
        synchronized (this) {
            if (halted) {
                return new CompletableFuture<>(); // the book stands still: what follows must not be applied to it
            }
            try {
                Entry e = FleetCodec.entry(bytes);
                List<News> news = new ArrayList<>();
                o = book.apply(e, log.getTerm(), news);
                updateLastAppliedTermIndex(log.getTerm(), log.getIndex());
                listener.applied(e, log.getTerm());
            } catch (FleetCodec.Unreadable e) {
                halt(e.getMessage() + ", at " + log.getTerm() + ":" + log.getIndex() + " of the log");
                return new CompletableFuture<>();
            }
        }
        return CompletableFuture.completedFuture(Message.valueOf(ByteString.copyFrom(FleetCodec.bytes(o))));
    }

    /** The engine closes the log that it cannot write, but would go on leading: the fleet would wait for it for good. */
    @Override
    public void notifyLogFailed(Throwable cause, LogEntryProto entry) {
        listener.halted("its log cannot be written: " + cause);
    }

    private void halt(String why) {
        halted = true;
        listener.halted(why);
    }

    @Override
    public CompletableFuture<Message> query(Message question) {
        synchronized (this) {
            return CompletableFuture.completedFuture(
                    Message.valueOf(questions.apply(question.getContent().toStringUtf8())));
        }
    }
}
