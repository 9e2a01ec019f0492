package plumpost.dispatch;

import java.nio.ByteBuffer;
import plumpost.decision.Dispatcher;

/**
 * A job as a front submits it.
 *
 * @param id the job's id, passed to the route node unchanged
 * @param classIndex index of its class
 * @param target path and query of the client's request, or null if the protocol has none
 * @param fields header fields that are passed on to the route node, as complete lines
 * @param body the job's input; neither front nor core changes it while the job is open
 * @param patienceMs time that the client still waits
 * @param costMs rough estimate of its cost, or NaN
 * @param slots slots that it occupies
 * @param memory memory that it needs, or NaN
 * @param tenant index of the tenant
 * @param key locality key: the subject of the job, or null
 * @param retry whether the client marked it as a retry
 * @param unique key under which a resubmission is the same job, qualified by its front, or null
 * @param exclusive whether the unique key is an id that belongs to the client which submitted it first: nobody joins the job or is
 *     told its outcome, and another submission under a known id is rejected
 * @param work kind of work and scheduling properties besides the class
 */
public record JobSpec(
        String id,
        int classIndex,
        ByteBuffer target,
        String fields,
        ByteBuffer body,
        double patienceMs,
        double costMs,
        double slots,
        double memory,
        int tenant,
        String key,
        boolean retry,
        String unique,
        boolean exclusive,
        Work work) {

    /**
     * The kind of work and scheduling properties of a job besides its class.
     *
     * @param kind the kind of work
     * @param name the front's name for the work, or null if it is the class
     * @param unique the unique key as the client sent it, or null
     * @param reducer function that combines its partial results, or null
     * @param priority above 0 to run before other jobs of its age, below 0 to run after them
     * @param aimMs target time for its completion, or NaN to use that of its class
     */
    public record Work(WorkKind kind, String name, String unique, String reducer, int priority, double aimMs) {}

    /** Returns whether its run counts beyond its clients: it may not simply be repeated, or others may join it. */
    boolean outlivesClients(Dispatcher.JobClass jobClass) {
        return unique != null && (!exclusive || jobClass.effect() != Dispatcher.Effect.FREE);
    }

    /** Returns the same job for a client that still waits for {@code newPatienceMs}. */
    public JobSpec withPatience(double newPatienceMs) {
        return new JobSpec(
                id,
                classIndex,
                target,
                fields,
                body,
                newPatienceMs,
                costMs,
                slots,
                memory,
                tenant,
                key,
                retry,
                unique,
                exclusive,
                work);
    }

    /** Returns the same job without its unique key: nobody joins it here, and its outcome is not kept here. */
    public JobSpec withoutUniqueKey() {
        return new JobSpec(
                id,
                classIndex,
                target,
                fields,
                body,
                patienceMs,
                costMs,
                slots,
                memory,
                tenant,
                key,
                retry,
                null,
                false,
                work);
    }

    /** Creates a job without header fields. */
    public JobSpec(
            String id,
            int cls,
            ByteBuffer target,
            ByteBuffer body,
            double patienceMs,
            double costMs,
            double slots,
            double memory,
            int tenant,
            String key,
            boolean retry,
            String unique,
            Work work) {
        this(id, cls, target, "", body, patienceMs, costMs, slots, memory, tenant, key, retry, unique, false, work);
    }

    /** Creates a job whose kind of work is its class. */
    public JobSpec(
            String id,
            int cls,
            ByteBuffer target,
            ByteBuffer body,
            double patienceMs,
            double costMs,
            double slots,
            double memory,
            int tenant,
            String key,
            boolean retry,
            String unique) {
        this(
                id,
                cls,
                target,
                body,
                patienceMs,
                costMs,
                slots,
                memory,
                tenant,
                key,
                retry,
                unique,
                new Work(WorkKind.ofClass(cls), null, unique, null, 0, Double.NaN));
    }
}
