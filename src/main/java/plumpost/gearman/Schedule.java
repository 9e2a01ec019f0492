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
import plumpost.dispatch.JobRequest;

/** Jobs that wait for their time, bounded in number and bytes; does no I/O and keeps no clock. */
final class Schedule {
    /** A job and its time in Unix milliseconds. */
    record Entry(JobRequest sheet, double atMs, long order) {}

    private final int most;
    private final long mostBytes;
    private final TreeSet<Entry> byTime =
            new TreeSet<>(Comparator.comparingDouble(Entry::atMs).thenComparingLong(Entry::order));
    private final Map<String, Entry> byId = new HashMap<>();
    private final Map<String, Entry> byUnique = new HashMap<>();
    private long bytes;
    private long order;

    Schedule(int most, long mostBytes) {
        this.most = most;
        this.mostBytes = mostBytes;
    }

    /** Why one more job with so much data cannot be held, or null. */
    String lack(int data) {
        return byId.size() >= most
                ? "limits.scheduled " + most
                : bytes + data > mostBytes ? "limits.scheduledBytes " + mostBytes : null;
    }

    void add(JobRequest sheet, double atMs) {
        Entry e = new Entry(sheet, atMs, order++);
        byTime.add(e);
        byId.put(sheet.id(), e);
        if (sheet.unique() != null) {
            byUnique.put(sheet.unique(), e);
        }
        bytes += sheet.body().remaining();
    }

    /** The next job whose time has come, which stays until it is removed; or null. */
    Entry due(double now) {
        return byTime.isEmpty() || byTime.first().atMs() > now ? null : byTime.first();
    }

    Entry of(String id) {
        return byId.get(id);
    }

    Entry ofUnique(String unique) {
        return byUnique.get(unique);
    }

    Collection<Entry> all() {
        return byTime;
    }

    boolean remove(Entry e) {
        if (e == null || byId.remove(e.sheet().id()) == null) {
            return false;
        }
        byTime.remove(e);
        byUnique.remove(e.sheet().unique(), e);
        bytes -= e.sheet().body().remaining();
        return true;
    }

    /**
     * The next time after now, in UTC, that fits minute, hour, day of the month, month and day of the week (0 is
     * Monday), each a number or {@code *} for any; throws with the field's name where one is not.
     */
    static double next(double nowMs, String... fields) {
        String[] names = {"minute", "hour", "day of the month", "month", "day of the week"};
        int[] least = {0, 0, 1, 1, 0};
        int[] last = {59, 23, 31, 12, 6};
        int[] wanted = new int[5];
        for (int i = 0; i < 5; i++) {
            wanted[i] = -1;
            if (!fields[i].equals("*") && !fields[i].isEmpty()) {
                if (!fields[i].matches("[0-9]{1,2}")
                        || Integer.parseInt(fields[i]) < least[i]
                        || Integer.parseInt(fields[i]) > last[i]) {
                    throw new IllegalArgumentException(
                            names[i] + " is " + fields[i] + ", not from " + least[i] + " to " + last[i] + " or *");
                }
                wanted[i] = Integer.parseInt(fields[i]);
            }
        }
        LocalDateTime t = LocalDateTime.ofInstant(Instant.ofEpochMilli((long) nowMs), ZoneOffset.UTC)
                .withSecond(0)
                .withNano(0)
                .plusMinutes(1);
        LocalDateTime end = t.plusYears(8).plusDays(1); // a 29th of February comes within 8 years
        while (t.isBefore(end)) {
            if (off(wanted[3], t.getMonthValue())) {
                t = t.plusMonths(1).withDayOfMonth(1).withHour(0).withMinute(0);
            } else if (off(wanted[2], t.getDayOfMonth())
                    || off(wanted[4], t.getDayOfWeek().getValue() - 1)) {
                t = t.plusDays(1).withHour(0).withMinute(0);
            } else if (off(wanted[1], t.getHour())) {
                t = t.plusHours(1).withMinute(0);
            } else if (off(wanted[0], t.getMinute())) {
                t = t.plusMinutes(1);
            } else {
                return t.toInstant(ZoneOffset.UTC).toEpochMilli();
            }
        }
        throw new DateTimeException("no such day");
    }

    private static boolean off(int wanted, int is) {
        return wanted >= 0 && wanted != is;
    }
}
