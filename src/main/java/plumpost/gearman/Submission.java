package plumpost.gearman;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import plumpost.dispatch.OpenJob;
import plumpost.dispatch.ReplyTo;
import plumpost.gearman.Packet.Type;

/** One job that a client has submitted: its JOB_CREATED, news, and one final packet where a client waits for it. */
final class Submission implements ReplyTo {
    private final ClientSession client;
    String handle;
    OpenJob entry;
    private List<Runnable> early = new ArrayList<>(0);
    private Runnable whenDone;
    private boolean done;
    private int told;

    /** A submission; in the background, without a client who waits, where that is null. */
    Submission(ClientSession client, String handle) {
        this.client = client;
        this.handle = handle;
    }

    @Override
    public boolean waits() {
        return client != null;
    }

    @Override
    public void look() {
        if (client != null) {
            client.look();
        }
    }

    boolean done() {
        return done;
    }

    void whenDone(Runnable what) {
        whenDone = what;
    }

    /** JOB_CREATED comes first, also where the core has answered at once. */
    void announce(GearmanConnection to) {
        to.write(Type.JOB_CREATED, handle);
        List<Runnable> words = early;
        early = null;
        words.forEach(Runnable::run);
    }

    private void say(Runnable words) {
        if (client == null) {
            return;
        }
        if (early == null) {
            words.run();
        } else {
            early.add(words);
        }
    }

    private void last(Runnable words) {
        done = true;
        if (whenDone != null) {
            whenDone.run();
        }
        if (client != null) {
            client.done(this);
            say(words);
        }
    }

    @Override
    public void served(ByteBuffer result) {
        ByteBuffer rest = result.duplicate();
        rest.position(rest.position() + told);
        last(() -> client.write(Type.WORK_COMPLETE, handle, rest));
    }

    @Override
    public void refused(double retryAfterMs) {
        last(() -> {
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
        last(() -> client.write(Type.WORK_FAIL, handle));
    }

    @Override
    public void failed(ByteBuffer why) {
        last(() -> {
            if (client.exceptions()) {
                client.write(Type.WORK_EXCEPTION, handle, why);
            } else {
                client.write(Type.WORK_FAIL, handle);
            }
        });
    }

    @Override
    public void part(ByteBuffer more) {
        told += more.remaining();
        say(() -> client.write(Type.WORK_DATA, handle, more));
    }

    @Override
    public void progressed(double share) {
        say(() -> client.write(Type.WORK_STATUS, handle, Math.round(share * 100), 100));
    }

    @Override
    public void warned(ByteBuffer words) {
        say(() -> client.write(Type.WORK_WARNING, handle, words));
    }
}
