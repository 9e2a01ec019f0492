package plumpost.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import plumpost.peers.Fleet.Reply;
import plumpost.peers.Fleet.Result;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/**
 * Requests of callers whose entries are proposed and whose outcome is not known yet. A caller is answered once: by the
 * outcome that the log reports, by the entry as it is applied here, or, after the caller's time limit, that the outcome is
 * not known. A job without a unique key that is applied after that belongs to nobody; {@link #isAbandoned} tells so that it
 * can be cancelled. A job with a key may have been submitted again under it, and stays.
 */
final class PendingRequests {
    /** The maximum number of entries that are remembered after their caller was told that the outcome is not known. */
    private static final int MAX_ABANDONED = 4096;

    private final Clock clock;
    private final TimerWheel wheel;
    /** By key; two callers may ask for the same, such as to ban one node. */
    private final Map<String, List<Request>> byKey = new HashMap<>();

    private final BoundedKeySet abandoned = new BoundedKeySet(MAX_ABANDONED);

    PendingRequests(Clock clock, TimerWheel wheel) {
        this.clock = clock;
        this.wheel = wheel;
    }

    /** One request; it is answered once. */
    final class Request implements FleetLog.ProposalListener {
        private final String key;
        private final boolean isCancellable;
        private final Consumer<Reply> callback;
        private final TimerWheel.Timer limit;

        private Request(Entry entry, double limitMs, Consumer<Reply> callback) {
            key = key(entry);
            isCancellable = entry instanceof Entry.Take take && take.unique().isEmpty()
                    || entry instanceof Entry.TakeScheduled scheduled
                            && scheduled.unique().isEmpty()
                    || entry instanceof Entry.Plan plan && plan.unique().isEmpty();
            this.callback = callback;
            limit = wheel.schedule(clock.nowMs() + limitMs, this::unknown);
        }

        @Override
        public void applied(Outcome outcome) {
            answer(outcome.done() ? Result.AGREED : Result.REFUSED, outcome.detail());
        }

        @Override
        public void notProposed(String reason) {
            answer(Result.NOT_PROPOSED, reason);
        }

        @Override
        public void unknown() {
            if (isCancellable && byKey.getOrDefault(key, List.of()).contains(this)) {
                abandoned.add(key);
            }
            answer(Result.UNKNOWN, "the fleet has not agreed in time and may still do so");
        }

        private void answer(Result result, String detail) {
            List<Request> sameKey = byKey.getOrDefault(key, new ArrayList<>(0));
            if (sameKey.remove(this)) {
                limit.cancel();
                if (sameKey.isEmpty()) {
                    byKey.remove(key);
                }
                callback.accept(new Reply(result, detail));
            }
        }
    }

    /** Adds the request of an entry that is about to be proposed; its caller is answered within {@code limitMs}. */
    Request add(Entry entry, double limitMs, Consumer<Reply> callback) {
        Request request = new Request(entry, limitMs, callback);
        byKey.computeIfAbsent(request.key, key -> new ArrayList<>(1)).add(request);
        return request;
    }

    /** Answers the callers of an entry that was applied here. */
    void onApplied(Entry entry, Outcome outcome) {
        if (!byKey.isEmpty()) {
            List.copyOf(byKey.getOrDefault(key(entry), List.of())).forEach(request -> request.applied(outcome));
        }
    }

    /** Whether a job with this id has no key, and its caller was told that the outcome is not known. */
    boolean isAbandoned(String jobId) {
        return abandoned.contains(jobId);
    }

    /** Answers all callers that the outcome is not known, since it cannot be learned any more. */
    void abandonAll() {
        List<Request> all = byKey.values().stream().flatMap(List::stream).toList();
        all.forEach(Request::unknown);
    }

    /** Jobs are known by their ids, which are never reused; other entries by their content. */
    private static String key(Entry entry) {
        if (entry instanceof Entry.Take take) {
            return take.id();
        } else if (entry instanceof Entry.TakeScheduled take) {
            return take.id();
        } else if (entry instanceof Entry.Plan plan) {
            return plan.id();
        }
        return entry instanceof Entry.Told told ? told.event() + " " + told.id() : entry.toString();
    }
}
