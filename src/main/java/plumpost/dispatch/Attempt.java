package plumpost.dispatch;

import java.nio.ByteBuffer;
import plumpost.decision.Dispatcher;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.LoadReport;
import plumpost.decision.Dispatcher.WorkerEntry;

/** One try of a job on one route node. A link reports through it; once it has ended, further reports are dropped. */
public final class Attempt {
    final OpenJob job;
    final int number;
    final String node;
    final NodeLink link;
    final double sentAt;
    /** The node's line when it was sent, for those that may follow it. */
    final WorkerEntry on;

    Ending ending;
    /** Whether it waits for the right to be sent: until then no node has seen it. */
    boolean held;

    private final DispatchCore room;

    Attempt(DispatchCore room, OpenJob job, String node, NodeLink link, WorkerEntry on, double sentAt) {
        this.on = on;
        this.room = room;
        this.job = job;
        this.number = job.attempts.size();
        this.node = node;
        this.link = link;
        this.sentAt = sentAt;
    }

    /** The job that is tried. */
    public JobRequest sheet() {
        return job.sheet;
    }

    /** The class that the job came with; settings that came since do not change it. */
    public Dispatcher.JobClass jobClass() {
        return job.cls;
    }

    /** Time until the client gives up. */
    public double leftMs() {
        return job.deadline - room.nowMs();
    }

    /**
     * False once the node was told to drain or be gone, or the time in which a repeat is harmless is over, or nobody
     * waits for the job any more: what is not yet written must not be.
     */
    public boolean wanted() {
        return !room.left(job) && ending == null && room.serving(node) && job.mayRepeat(this, on, room.nowMs());
    }

    /** The attempt's last byte has been written: from here on it counts as sent. A link tells this once. */
    public void whole() {
        room.whole(this);
    }

    /** The node has started the job. */
    public void started() {
        room.started(this);
    }

    /** The node tells the share that is done. */
    public void progressed(double share) {
        room.progressed(this, share);
    }

    /** The node warns of something; the job goes on. */
    public void warned(ByteBuffer words) {
        room.warned(this, words);
    }

    /** The node tells a part of the result; the rest comes with {@link #served}. */
    public void part(ByteBuffer more) {
        room.part(this, more);
    }

    /** The node has failed the job and says why. */
    public void failed(ByteBuffer why, LoadReport report) {
        job.words = why;
        room.ended(this, Ending.ERROR, null, report);
    }

    /** The attempt was served; the result follows on the parts that were told. */
    public void served(ByteBuffer result, LoadReport report) {
        room.ended(this, Ending.OK, result, report);
    }

    /** The attempt ended otherwise. */
    public void ended(Ending how, LoadReport report) {
        room.ended(this, how, null, report);
    }
}
