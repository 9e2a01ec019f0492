package plumpost.dispatch;

import java.nio.ByteBuffer;
import plumpost.decision.Dispatcher;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.LoadReport;
import plumpost.decision.Dispatcher.WorkerEntry;

/** One attempt of a job on one route node. The node's link reports through it; reports after its end are ignored. */
public final class Attempt {
    final OpenJob job;
    final int number;
    final String node;
    final NodeLink link;
    final double sentAtMs;
    /** The node's list entry when the attempt was made; it limits where a repeat may go. */
    final WorkerEntry workerEntry;

    Ending ending;
    /**
     * Whether it waits for its lease, or until its client's connection has been read to its end; no node has seen it until
     * then.
     */
    boolean onHold;

    /** Whether its link withholds the last byte, without which the node can't have begun. */
    private boolean lastByteWithheld;

    private final DispatchCore core;

    Attempt(DispatchCore core, OpenJob job, String node, NodeLink link, WorkerEntry workerEntry, double sentAtMs) {
        this.workerEntry = workerEntry;
        this.core = core;
        this.job = job;
        this.number = job.attempts.size();
        this.node = node;
        this.link = link;
        this.sentAtMs = sentAtMs;
    }

    /** Returns the job as it was submitted. */
    public JobSpec spec() {
        return job.spec;
    }

    /** Returns the class definition with which the job was submitted; later settings do not change it. */
    public Dispatcher.JobClass jobClass() {
        return job.jobClass;
    }

    /** Returns the milliseconds until the job's deadline. */
    public double leftMs() {
        return job.deadlineMs - core.nowMs();
    }

    /**
     * Calls {@code send} if the attempt may still be written, and {@code cancel} if not: once the attempt or the job has ended,
     * the node drains or is gone, or the window is over in which a repeat is harmless. Reads the clients' connections first;
     * while a client's close may lie behind bytes that are not read yet, it waits and calls neither.
     */
    public void whenSendable(Runnable send, Runnable cancel) {
        core.whenSendable(this, send, cancel);
    }

    /** Returns whether the attempt may still be written, as far as its own scheduler knows. */
    boolean mayStillBeSent() {
        return ending == null
                && !job.answered
                && core.isServing(node)
                && job.mayRepeat(this, workerEntry, core.nowMs());
    }

    /** Reports whether the link withholds the last byte, so that the node can't begin yet. */
    public void withholdLastByte(boolean withheld) {
        lastByteWithheld = withheld;
    }

    /** Returns whether the node may have begun. */
    boolean mayHaveRun() {
        return ending == null ? !onHold && !lastByteWithheld : !ending.neverRan();
    }

    /** Reports that the attempt's last byte has been written, so that it counts as sent. A link calls this once. */
    public void fullySent() {
        core.fullySent(this);
    }

    /** Reports that the node has started the job. */
    public void started() {
        core.started(this);
    }

    /** Reports the share of the job that is done. */
    public void progressed(double progress) {
        core.progressed(this, progress);
    }

    /** Passes on a warning of the node; the job continues. */
    public void warned(ByteBuffer text) {
        core.warned(this, text);
    }

    /** Passes on a part of the result; the rest comes with {@link #served}. */
    public void part(ByteBuffer part) {
        core.part(this, part);
    }

    /** Reports that the node failed the job, with the node's reason. */
    public void failed(ByteBuffer reason, LoadReport report) {
        job.failureText = reason;
        core.ended(this, Ending.ERROR, null, report);
    }

    /** Reports that the attempt was served; the result continues the parts that were passed on. */
    public void served(ByteBuffer result, LoadReport report) {
        core.ended(this, Ending.OK, result, report);
    }

    /** Reports any other ending of the attempt. */
    public void ended(Ending outcome, LoadReport report) {
        core.ended(this, outcome, null, report);
    }
}
