package plumpost.platform;

import java.util.ArrayDeque;

/**
 * When the bytes of a buffer arrived, by their position in all that was ever added. Times close to each other are kept as one,
 * the earlier, so that the memory for them is bounded.
 */
final class ArrivalTimes {
    private static final double MERGED_SPAN_MS = 50;
    private static final int MAX_MARKS = 64;

    private record Mark(long endPosition, double atMs) {}

    private final ArrayDeque<Mark> marks = new ArrayDeque<>(0);
    private long added;

    /** Records that bytes were added. */
    void add(int bytes, double nowMs) {
        added += bytes;
        Mark last = marks.peekLast();
        if (last != null && (nowMs - last.atMs < MERGED_SPAN_MS || marks.size() >= MAX_MARKS)) {
            marks.pollLast();
            marks.add(new Mark(added, last.atMs));
        } else {
            marks.add(new Mark(added, nowMs));
        }
    }

    /** Returns when the byte arrived behind which the given number of bytes are left, at the earliest. */
    double atMs(int remainingBytes) {
        long position = added - remainingBytes;
        while (marks.size() > 1 && marks.peekFirst().endPosition < position) {
            marks.pollFirst();
        }
        return marks.peekFirst().atMs;
    }

    /** Forgets all times. */
    void clear() {
        marks.clear();
    }
}
