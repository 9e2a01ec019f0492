package plumpost.gearman;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import plumpost.dispatch.OpenJob;
import plumpost.dispatch.ReplyTo;
import plumpost.dispatch.WorkerResult;
import plumpost.gearman.Packet.Type;

/** One submitted job: sends JOB_CREATED, progress and exactly one final packet to the client that waits for it. */
class Submission implements ReplyTo {
    private final ClientSession client;
    String handle;
    OpenJob openJob;
    /** Packets that came before JOB_CREATED was sent, as the core may answer at once; null after it. */
    private List<Runnable> deferred = new ArrayList<>(0);

    private Runnable whenDone;
    private boolean done;
    private boolean refused;
    /** Bytes of the result that were sent as WORK_DATA, and are left out of WORK_COMPLETE. */
    private int sentBytes;

    /** Creates a submission; a null client means a background job, for which nobody waits. */
    Submission(ClientSession client, String handle) {
        this.client = client;
        this.handle = handle;
    }

    @Override
    public boolean waits() {
        return client != null;
    }

    @Override
    public boolean pollConnection() {
        return client == null || client.readAvailable();
    }

    @Override
    public String endReason() {
        return client == null ? "-" : client.endReason();
    }

    /** Returns whether the core has refused the job, which therefore never runs. */
    boolean isRefused() {
        return refused;
    }

    boolean isDone() {
        return done;
    }

    void whenDone(Runnable action) {
        whenDone = action;
    }

    /** Sends JOB_CREATED, then the packets that were deferred until it was sent. */
    void announce(GearmanConnection connection) {
        connection.write(Type.JOB_CREATED, handle);
        List<Runnable> packets = deferred;
        deferred = null;
        packets.forEach(Runnable::run);
    }

    private void send(Runnable packet) {
        if (client == null) {
            return;
        }
        if (deferred == null) {
            packet.run();
        } else {
            deferred.add(packet);
        }
    }

    private void finish(Runnable packet) {
        done = true;
        if (whenDone != null) {
            whenDone.run();
        }
        if (client != null) {
            client.onDone(this);
            send(packet);
        }
    }

    @Override
    public void served(WorkerResult result) {
        completed(result.bytes());
    }

    /** Tells the client the whole result, of which it may have got parts. */
    void completed(ByteBuffer result) {
        ByteBuffer remainder = result.duplicate();
        remainder.position(remainder.position() + sentBytes);
        finish(() -> client.write(Type.WORK_COMPLETE, handle, remainder));
    }

    @Override
    public void refused(double retryAfterMs) {
        refused = true;
        finish(() -> {
            if (client.exceptions()) {
                client.write(
                        Type.WORK_EXCEPTION, handle, "refused, try again after " + Math.round(retryAfterMs) + " ms");
            } else {
                client.write(Type.WORK_FAIL, handle);
            }
        });
    }

    @Override
    public void failed() {
        finish(() -> client.write(Type.WORK_FAIL, handle));
    }

    @Override
    public void failed(ByteBuffer reason) {
        finish(() -> {
            if (client.exceptions()) {
                client.write(Type.WORK_EXCEPTION, handle, reason);
            } else {
                client.write(Type.WORK_FAIL, handle);
            }
        });
    }

    @Override
    public void part(ByteBuffer data) {
        sentBytes += data.remaining();
        send(() -> client.write(Type.WORK_DATA, handle, data));
    }

    @Override
    public void progressed(double share) {
        send(() -> client.write(Type.WORK_STATUS, handle, Math.round(share * 100), 100));
    }

    @Override
    public void warned(ByteBuffer text) {
        send(() -> client.write(Type.WORK_WARNING, handle, text));
    }
}
