package plumpost.platform;

import java.util.Set;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.decision.Dispatcher.JobClass;
import plumpost.dispatch.JobSpec;
import plumpost.dispatch.WorkKind;
import plumpost.http.Head;
import plumpost.http.RequestReader;
import plumpost.time.TimerWheel;

/** Reads a job from a client's HTTP request, by the header fields of the protocol page. */
final class JobRequestReader {
    /** Fields that a link to a worker writes itself; all others are forwarded, such as the key by which workers drop repeats. */
    private static final Set<String> REPLACED_FIELDS = Set.of("x-txn", "x-lane", "x-remaining-ms");

    /** Separates this front's keys from those of others, which begin with the name of a function. */
    private static final String KEY_PREFIX = "\0http\0";

    private static final double MICROS_PER_MS = 1000.0;

    private JobRequestReader() {}

    /**
     * Returns the job of a complete request; a {@link BadInput} names the malformed field and its value.
     *
     * @param request the request
     * @param classIndex the index of the class that the path names
     * @param jobClass that class in the current settings
     * @param unreadMs how long the request may have waited unread; it is subtracted from the client's remaining time
     */
    static JobSpec read(RequestReader request, int classIndex, JobClass jobClass, double unreadMs) {
        JobFields fields = new JobFields(request.head());
        String id = fields.id();
        fields.checkClass(jobClass);
        Fields labels = fields.labels();
        double remaining = Math.min(fields.remainingMs(jobClass.deadlineMs()), jobClass.deadlineMs());
        double costMs = Math.min(fields.estimateMicros() / MICROS_PER_MS, jobClass.deadlineMs());
        return new JobSpec(
                id,
                classIndex,
                request.target(),
                request.head().forwardedFields(REPLACED_FIELDS),
                request.body(),
                unreadMs > TimerWheel.TICK_MS ? remaining - unreadMs : remaining,
                costMs,
                JobFields.slots(labels),
                JobFields.memory(labels),
                0,
                fields.key(),
                fields.isRetry(),
                KEY_PREFIX + id,
                true,
                new JobSpec.Work(WorkKind.ofClass(classIndex), null, null, null, 0, Double.NaN));
    }

    /** Returns the id of a request for logs, or {@code "-"} if it has none of the form of ids. */
    static String loggableId(Head head) {
        String id = JobFields.idOrNull(head);
        return id == null ? "-" : id;
    }

    /** Returns the unique key of a request whose head is complete, or null if it has no id. */
    static String uniqueKey(RequestReader request) {
        String id = JobFields.idOrNull(request.head());
        return id == null ? null : KEY_PREFIX + id;
    }
}
