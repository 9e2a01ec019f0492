package plumpost.fleet.engine;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.protocol.RaftClientReply;

/**
 * Blocking calls to the fleet by a client of the engine, each on a thread of its own, so that one that hangs on a leader
 * that was stopped holds up no other. (The engine's asynchronous calls stay with a member that has gone until their tries
 * are over.) A client that failed is made anew, with the members as they are known then.
 */
final class Calls implements Closeable {
    /** A client is made anew no more often than this. */
    private static final double AGAIN_MS = 1_000;

    /** Makes a client of the members as they are known now; an exception where there are none yet. */
    interface Maker {
        RaftClient make() throws IOException;
    }

    /** What is asked. */
    interface Call {
        RaftClientReply by(RaftClient c) throws IOException;
    }

    private final Maker maker;
    private final long longestMs;
    private final ExecutorService threads;
    /** Owns the client. */
    private final ScheduledExecutorService own;

    private final Executor loop;
    private RaftClient client;
    private double madeAt;

    /** So many at once, none of which takes longer than {@code longestMs}; what they come to is told on the loop. */
    Calls(Maker maker, int atOnce, long longestMs, ThreadFactory thread, Executor loop) {
        this.maker = maker;
        this.longestMs = longestMs;
        this.threads = Executors.newFixedThreadPool(atOnce, thread);
        this.own = Executors.newSingleThreadScheduledExecutor(thread);
        this.loop = loop;
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** Asks; then tells the answer, or null where none came or it says that it failed. */
    void call(Call what, Consumer<RaftClientReply> then) {
        try {
            own.execute(() -> ask(what, then));
        } catch (RejectedExecutionException e) {
            loop.execute(() -> then.accept(null)); // closed meanwhile
        }
    }

    private void ask(Call what, Consumer<RaftClientReply> then) {
        RaftClient c = client;
        try {
            if (c == null) {
                c = maker.make();
                client = c;
                madeAt = nowMs();
            }
            RaftClient used = c;
            CompletableFuture.supplyAsync(
                            () -> {
                                try {
                                    return what.by(used);
                                } catch (IOException x) {
                                    throw new CompletionException(x);
                                }
                            },
                            threads)
                    .orTimeout(longestMs, TimeUnit.MILLISECONDS)
                    .whenComplete((reply, fault) -> {
                        if (fault != null) {
                            failed(used);
                        }
                        loop.execute(() -> then.accept(fault != null || !reply.isSuccess() ? null : reply));
                    });
        } catch (IOException | RuntimeException e) {
            failed(c);
            loop.execute(() -> then.accept(null));
        }
    }

    /** It is closed only once what others have asked by it is over, since a closed one leaves that unanswered for good. */
    private void failed(RaftClient c) {
        try {
            own.execute(() -> {
                if (client == c && c != null && nowMs() - madeAt > AGAIN_MS) {
                    client = null;
                    own.schedule(() -> shut(c), longestMs, TimeUnit.MILLISECONDS);
                }
            });
        } catch (RejectedExecutionException e) {
            // closed meanwhile, and the client with it
        }
    }

    private static void shut(RaftClient c) {
        try {
            c.close();
        } catch (IOException | RuntimeException e) {
            // it is given up either way
        }
    }

    /** Ends; what is under way is not waited for. */
    @Override
    public void close() {
        own.execute(() -> {
            if (client != null) {
                shut(client);
            }
        });
        own.shutdown();
        threads.shutdown();
    }
}
