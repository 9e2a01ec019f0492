package plumpost.gearman;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import plumpost.dispatch.JobSpec;

/** Jobs that wait for their start time, bounded in number and bytes; does no I/O and reads no clock. */
final class Schedule {
    /** A job, its start time in Unix milliseconds, and a sequence number that orders jobs of the same time. */
    record Entry(JobSpec request, double atMs, long sequence) {}

    private final int maxJobs;
    private final long maxBytes;
    private final TreeSet<Entry> byTime =
            new TreeSet<>(Comparator.comparingDouble(Entry::atMs).thenComparingLong(Entry::sequence));
    private final Map<String, Entry> byId = new HashMap<>();
    private final Map<String, Entry> byUnique = new HashMap<>();
    private long bytes;
    private long nextSequence;

    Schedule(int maxJobs, long maxBytes) {
        this.maxJobs = maxJobs;
        this.maxBytes = maxBytes;
    }

    /** Names the limit that one more job with this many bytes of data would exceed, with its value; or null. */
    String exhaustedLimit(int dataBytes) {
        return byId.size() >= maxJobs
                ? "limits.scheduled " + maxJobs
                : bytes + dataBytes > maxBytes ? "limits.scheduledBytes " + maxBytes : null;
    }

    void add(JobSpec request, double atMs) {
        Entry entry = new Entry(request, atMs, nextSequence++);
        byTime.add(entry);
        byId.put(request.id(), entry);
        if (request.unique() != null) {
            byUnique.put(request.unique(), entry);
        }
        bytes += request.body().remaining();
    }

    /** The first job that is due, or null; it stays in the schedule until it is removed. */
    Entry firstDue(double nowMs) {
        return byTime.isEmpty() || byTime.first().atMs() > nowMs ? null : byTime.first();
    }

    Entry find(String id) {
        return byId.get(id);
    }

    Entry findByUnique(String unique) {
        return byUnique.get(unique);
    }

    Collection<Entry> entries() {
        return byTime;
    }

    boolean remove(Entry entry) {
        if (entry == null || byId.remove(entry.request().id()) == null) {
            return false;
        }
        byTime.remove(entry);
        byUnique.remove(entry.request().unique(), entry);
        bytes -= entry.request().body().remaining();
        return true;
    }

    /**
     * Returns the next time after now, in Unix milliseconds, that matches the minute, hour, day of the month, month and
     * day of the week (0 is Monday) in UTC. Each is a number, or {@code *} or empty for any.
     *
     * @throws IllegalArgumentException if a field is invalid; the message names it
     * @throws DateTimeException if no time matches
     */
    static double nextTimeMs(double nowMs, String... fields) {
        String[] names = {"minute", "hour", "day of the month", "month", "day of the week"};
        int[] min = {0, 0, 1, 1, 0};
        int[] max = {59, 23, 31, 12, 6};
        int[] wanted = new int[5];
        for (int i = 0; i < 5; i++) {
            wanted[i] = -1;
            if (!fields[i].equals("*") && !fields[i].isEmpty()) {
                if (!fields[i].matches("[0-9]{1,2}")
                        || Integer.parseInt(fields[i]) < min[i]
                        || Integer.parseInt(fields[i]) > max[i]) {
                    throw new IllegalArgumentException(
                            names[i] + " is " + fields[i] + ", not from " + min[i] + " to " + max[i] + " or *");
                }
                wanted[i] = Integer.parseInt(fields[i]);
            }
        }
        LocalDateTime time = LocalDateTime.ofInstant(Instant.ofEpochMilli((long) nowMs), ZoneOffset.UTC)
                .withSecond(0)
                .withNano(0)
                .plusMinutes(1);
        LocalDateTime end = time.plusYears(8).plusDays(1); // there is a 29th of February in any 8 years and a day
        while (time.isBefore(end)) {
            if (differs(wanted[3], time.getMonthValue())) {
                time = time.plusMonths(1).withDayOfMonth(1).withHour(0).withMinute(0);
            } else if (differs(wanted[2], time.getDayOfMonth())
                    || differs(wanted[4], time.getDayOfWeek().getValue() - 1)) {
                time = time.plusDays(1).withHour(0).withMinute(0);
            } else if (differs(wanted[1], time.getHour())) {
                time = time.plusHours(1).withMinute(0);
            } else if (differs(wanted[0], time.getMinute())) {
                time = time.plusMinutes(1);
            } else {
                return time.toInstant(ZoneOffset.UTC).toEpochMilli();
            }
        }
        throw new DateTimeException("no such day");
    }

    private static boolean differs(int wanted, int actual) {
        return wanted >= 0 && wanted != actual;
    }
}
