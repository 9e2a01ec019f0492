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
final class RaftCalls implements Closeable {
    /** A client is made anew no more often than this. */
    private static final double MIN_RECREATE_INTERVAL_MS = 1_000;

    /** Makes a client of the members as they are known now; an exception where there are none yet. */
    interface ClientFactory {
        RaftClient create() throws IOException;
    }

    /** What is asked. */
    interface Call {
        RaftClientReply execute(RaftClient client) throws IOException;
    }

    private final ClientFactory clientFactory;
    private final long timeoutMs;
    private final ExecutorService callThreads;
    /** Owns the client. */
    private final ScheduledExecutorService clientThread;

    private final Executor loop;
    private RaftClient client;
    private double clientCreatedAtMs;

    /** So many at once, none of which takes longer than {@code longestMs}; what they come to is told on the loop. */
    RaftCalls(
            ClientFactory clientFactory,
            int maxConcurrent,
            long timeoutMs,
            ThreadFactory threadFactory,
            Executor loop) {
        this.clientFactory = clientFactory;
        this.timeoutMs = timeoutMs;
        this.callThreads = Executors.newFixedThreadPool(maxConcurrent, threadFactory);
        this.clientThread = Executors.newSingleThreadScheduledExecutor(threadFactory);
        this.loop = loop;
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** Asks; then tells the answer, or null where none came or it says that it failed. */
    void call(Call call, Consumer<RaftClientReply> onReply) {
        try {
            clientThread.execute(() -> run(call, onReply));
        } catch (RejectedExecutionException e) {
            loop.execute(() -> onReply.accept(null)); // closed meanwhile
        }
    }

    private void run(Call call, Consumer<RaftClientReply> onReply) {
        RaftClient c = client;
        try {
            if (c == null) {
                c = clientFactory.create();
                client = c;
                clientCreatedAtMs = nowMs();
            }
            RaftClient usedClient = c;
            CompletableFuture.supplyAsync(
                            () -> {
                                try {
                                    return call.execute(usedClient);
                                } catch (IOException x) {
                                    throw new CompletionException(x);
                                }
                            },
                            callThreads)
                    .orTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                    .whenComplete((reply, failure) -> {
                        if (failure != null) {
                            discardClient(usedClient);
                        }
                        loop.execute(() -> onReply.accept(failure != null || !reply.isSuccess() ? null : reply));
                    });
        } catch (IOException | RuntimeException e) {
            discardClient(c);
            loop.execute(() -> onReply.accept(null));
        }
    }

    /** It is closed only once what others have asked by it is over, since a closed one leaves that unanswered for good. */
    private void discardClient(RaftClient failedClient) {
        try {
            clientThread.execute(() -> {
                if (client == failedClient
                        && failedClient != null
                        && nowMs() - clientCreatedAtMs > MIN_RECREATE_INTERVAL_MS) {
                    client = null;
                    clientThread.schedule(() -> closeQuietly(failedClient), timeoutMs, TimeUnit.MILLISECONDS);
                }
            });
        } catch (RejectedExecutionException e) {
            // closed meanwhile, and the client with it
        }
    }

    private static void closeQuietly(RaftClient raftClient) {
        try {
            raftClient.close();
        } catch (IOException | RuntimeException e) {
            // it is given up either way
        }
    }

    /** Ends; what is under way is not waited for. */
    @Override
    public void close() {
        clientThread.execute(() -> {
            if (client != null) {
                closeQuietly(client);
            }
        });
        clientThread.shutdown();
        callThreads.shutdown();
    }
}
