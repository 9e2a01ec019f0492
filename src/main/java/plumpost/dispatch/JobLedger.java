package plumpost.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The open jobs by id and by unique key, with the memory that they use of what the bounds allow. */
final class JobLedger {
    /** Memory that an open job uses besides its fields and body; half of it belongs to the decision module. */
    private static final int ENTRY_OVERHEAD_BYTES = 1100;

    private final DispatchCore.Bounds bounds;
    private final Map<String, OpenJob> byId = new HashMap<>();
    private final Map<String, OpenJob> byUniqueKey = new HashMap<>();
    private final OpenJobCounts counts = new OpenJobCounts();
    private long heldBytes;
    private int outcomesToKeep;

    JobLedger(DispatchCore.Bounds bounds) {
        this.bounds = bounds;
    }

    /** Returns the open job with an id, or null. */
    OpenJob find(String id) {
        return byId.get(id);
    }

    /** Returns the open job under a unique key, or null. */
    OpenJob findByUniqueKey(String uniqueKey) {
        return byUniqueKey.get(uniqueKey);
    }

    /** Returns the number of open jobs whose outcome has to be kept. */
    int countOutcomesToKeep() {
        return outcomesToKeep;
    }

    int size() {
        return byId.size();
    }

    /** Returns a copy of the open jobs; jobs may end while the caller iterates over it. */
    List<OpenJob> snapshot() {
        return List.copyOf(byId.values());
    }

    /** Returns a live view of the open jobs; no job may end while the caller iterates over it. */
    Collection<OpenJob> view() {
        return byId.values();
    }

    OpenJobCounts counts() {
        return counts;
    }

    /** Returns whether the bounds allow this job. */
    boolean hasCapacity(JobSpec spec) {
        return byId.size() < bounds.openJobs() && heldBytes + sizeBytes(spec) <= bounds.bodyBytes();
    }

    void add(OpenJob job) {
        byId.put(job.spec.id(), job);
        heldBytes += sizeBytes(job.spec);
        counts.added(job);
        if (job.spec.unique() != null) {
            byUniqueKey.put(job.spec.unique(), job);
        }
        outcomesToKeep += job.outlivesClients() ? 1 : 0;
    }

    void remove(OpenJob job) {
        counts.removed(job);
        byId.remove(job.spec.id());
        heldBytes -= sizeBytes(job.spec);
        if (job.spec.unique() != null) {
            byUniqueKey.remove(job.spec.unique());
        }
        outcomesToKeep -= job.outlivesClients() ? 1 : 0;
    }

    private static long sizeBytes(JobSpec spec) {
        // The target is a part of the buffer with the whole head, which it keeps in memory.
        int headBytes = spec.target() == null || !spec.target().hasArray()
                ? 0
                : spec.target().array().length;
        return ENTRY_OVERHEAD_BYTES
                + headBytes
                + spec.fields().length()
                + spec.body().remaining();
    }
}
