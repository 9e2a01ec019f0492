package plumpost.gearman;

import java.util.ArrayDeque;
import plumpost.net.Connection;

/**
 * Runs the requests of one connection in their order, since an answer to a submission has no other mark than its place: while
 * the answer to one is awaited, for instance from the fleet, later ones wait. Reading pauses while many bytes wait.
 */
final class AnswerOrder {
    /** Reading pauses while requests of this size wait; those that have been read already still join them. */
    private static final int MAX_WAITING_BYTES = 64 * 1024;
    /** The memory that a waiting request uses besides its arguments. */
    private static final int REQUEST_OVERHEAD_BYTES = 200;

    private record Request(Runnable action, int bytes) {}

    private final Connection connection;
    private final Runnable onFailure;
    private final ArrayDeque<Request> waiting = new ArrayDeque<>(0);
    private int waitingBytes;
    private boolean awaitsAnswer;
    private boolean isRunningWaiting;

    /** Creates the order of a connection; {@code onFailure} ends the connection if a request that waited fails. */
    AnswerOrder(Connection connection, Runnable onFailure) {
        this.connection = connection;
        this.onFailure = onFailure;
    }

    /** Runs a request at once, or after all before it are answered. */
    void run(int argumentBytes, Runnable action) {
        if (!awaitsAnswer && waiting.isEmpty()) {
            action.run();
            return;
        }
        Request request = new Request(action, argumentBytes + REQUEST_OVERHEAD_BYTES);
        waiting.add(request);
        waitingBytes += request.bytes;
        if (isPaused()) {
            connection.pauseReading();
        }
    }

    /** Lets later requests wait until the present one is answered by {@link #answered}. */
    void awaitAnswer() {
        awaitsAnswer = true;
    }

    /** The awaited answer was written: runs the requests that waited for it, up to the next that awaits an answer. */
    void answered() {
        awaitsAnswer = false;
        if (isRunningWaiting) {
            return; // the loop below goes on
        }
        boolean wasPaused = isPaused();
        isRunningWaiting = true;
        try {
            while (!awaitsAnswer && !waiting.isEmpty()) {
                Request request = waiting.poll();
                waitingBytes -= request.bytes;
                request.action.run();
            }
        } catch (RuntimeException | Error e) {
            onFailure.run(); // otherwise the requests behind it would wait for an answer that never comes
            throw e;
        } finally {
            isRunningWaiting = false;
        }
        if (wasPaused && !isPaused()) {
            connection.resumeReading();
        }
    }

    /** Returns whether reading is paused until requests have been answered. */
    boolean isPaused() {
        return waitingBytes >= MAX_WAITING_BYTES;
    }

    /** Drops the waiting requests of a connection that has ended. */
    void clear() {
        waiting.clear();
        waitingBytes = 0;
    }
}
