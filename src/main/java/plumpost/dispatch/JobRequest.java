package plumpost.dispatch;

import java.nio.ByteBuffer;

/**
 * A job as a front hands it in.
 *
 * @param id the job's id, told to the route node unchanged
 * @param cls index of its class
 * @param target path and query in which the front desk asked, or null where its protocol has none
 * @param fields header fields that go with it to the route node, whole lines
 * @param body what the job works on; neither front nor core changes it while the job is open
 * @param patienceMs how long the client still waits
 * @param costMs rough hint of its cost, or NaN
 * @param slots slots that it takes
 * @param memory memory that it takes, or NaN
 * @param tenant index of the tenant
 * @param key what the job is about, or null
 * @param retry true where the client has marked a retry
 * @param unique key under which a resubmit is the same job, with all that its front tells keys apart by, or null
 * @param work what the job is beside its class
 */
public record JobRequest(
        String id,
        int cls,
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
        Work work) {

    /**
     * What a job is beside its class.
     *
     * @param kind number of the kind of work: the class's index, or one above all classes
     * @param name what its front calls that work, or null where it is the class
     * @param unique the key under which its client knows it, or null
     * @param reducer what is to put its parts together, or null
     * @param priority above 0 before others of its age, below 0 after them
     * @param aimMs within what time it is wanted, or NaN where its class says that
     */
    public record Work(int kind, String name, String unique, String reducer, int priority, double aimMs) {}

    /** A job that comes without fields. */
    public JobRequest(
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
        this(id, cls, target, "", body, patienceMs, costMs, slots, memory, tenant, key, retry, unique, work);
    }

    /** A job of its class's own work. */
    public JobRequest(
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
                new Work(cls, null, unique, null, 0, Double.NaN));
    }
}
