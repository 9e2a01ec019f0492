package plumpost.fleet.engine;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.protocol.RaftClientReply;

/**
 * Runs blocking calls to the fleet through a Ratis client, each on a thread of its own, so that a call that hangs on a
 * stopped leader delays no other. (The client's asynchronous calls stay with a member that is gone until their retries are
 * used up.) After a failure the client is replaced by one that knows the current members.
 */
final class RaftCalls implements Closeable {
    /** Minimum time between the creation of a client and its replacement. */
    private static final double MIN_RECREATE_INTERVAL_MS = 1_000;

    /** Creates a client for the members that are currently known; throws if there are none yet. */
    interface ClientFactory {
        RaftClient create() throws IOException;
    }

    /** Receives what became of a call, on the event loop. */
    interface ResultListener {
        /** The call was answered; the reply may report a failure. */
        void answered(RaftClientReply reply);

        /** The call was not sent, for the given reason. */
        void notSent(String reason);

        /** The call was sent, and whether it was carried out is not known. */
        void unanswered();
    }

    /** One blocking call by a client. */
    interface Call {
        RaftClientReply execute(RaftClient client) throws IOException;

        /** Called when the call has timed out: returns true if it was not sent, and then it must not be sent any more. */
        default boolean cancelUnsent() {
            return false;
        }
    }

    private final ClientFactory clientFactory;
    private final long timeoutMs;
    private final ExecutorService callThreads;
    /** The only thread that reads and replaces the client. */
    private final ScheduledExecutorService clientThread;

    private final Executor loop;
    private RaftClient client;
    private double clientCreatedAtMs;

    /** Allows {@code maxConcurrent} calls at once, each with the given timeout; results are delivered on the event loop. */
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

    /** Runs a call, then passes on its reply, or null if there was none or it reports a failure. */
    void call(Call call, Consumer<RaftClientReply> onReply) {
        call(call, new ResultListener() {
            @Override
            public void answered(RaftClientReply reply) {
                onReply.accept(reply.isSuccess() ? reply : null);
            }

            @Override
            public void notSent(String reason) {
                onReply.accept(null);
            }

            @Override
            public void unanswered() {
                onReply.accept(null);
            }
        });
    }

    /** Runs a call, then passes on what became of it. */
    void call(Call call, ResultListener listener) {
        try {
            clientThread.execute(() -> run(call, listener));
        } catch (RejectedExecutionException e) {
            loop.execute(() -> listener.notSent("this scheduler has left the fleet"));
        }
    }

    private void run(Call call, ResultListener listener) {
        RaftClient current = client;
        try {
            if (current == null) {
                current = clientFactory.create();
                client = current;
                clientCreatedAtMs = nowMs();
            }
            execute(call, current, listener);
        } catch (IOException | RuntimeException e) {
            discardClient(current);
            loop.execute(() -> listener.notSent(e.getMessage() == null ? e.toString() : e.getMessage()));
        }
    }

    private void execute(Call call, RaftClient usedClient, ResultListener listener) {
        CompletableFuture<RaftClientReply> result = new CompletableFuture<>();
        Future<?> task = callThreads.submit(() -> {
            if (result.isDone()) {
                return; // it has timed out in the queue, and must not be sent after its caller was told
            }
            try {
                result.complete(call.execute(usedClient));
            } catch (IOException | RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        result.orTimeout(timeoutMs, TimeUnit.MILLISECONDS).whenComplete((reply, failure) -> {
            if (failure != null) {
                boolean unsent = call.cancelUnsent();
                task.cancel(true);
                discardClient(usedClient);
                loop.execute(unsent ? () -> listener.notSent("no leader is known") : listener::unanswered);
            } else {
                loop.execute(() -> listener.answered(reply));
            }
        });
    }

    /**
     * Replaces a client after a failure. It is closed only when the other calls made through it have timed out, because a
     * closed client never completes them.
     */
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
            // closed in the meantime, and the client with it
        }
    }

    private static void closeQuietly(RaftClient raftClient) {
        try {
            raftClient.close();
        } catch (IOException | RuntimeException e) {
            // the client is abandoned either way
        }
    }

    /** Closes the client without waiting for open calls. */
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
