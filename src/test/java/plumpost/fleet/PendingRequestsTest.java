package plumpost.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import plumpost.fleet.Entry.SessionId;
import plumpost.peers.Fleet.Reply;
import plumpost.peers.Fleet.Result;
import plumpost.time.TimerWheel;

/** The answers to callers whose entries are proposed to the fleet's log. */
class PendingRequestsTest {
    private static final double LIMIT_MS = 1_000;

    private double nowMs;
    private final TimerWheel wheel = new TimerWheel(nowMs);
    private final PendingRequests requests = new PendingRequests(() -> nowMs, wheel);
    private final List<Reply> replies = new ArrayList<>();

    private static Entry.Take take(String id, String unique) {
        return new Entry.Take(new SessionId("s1", 1), id, "f", unique, new byte[1], 0, 1000, false, false);
    }

    /** Guards two operators who ask for the same at once: each is answered. */
    @Test
    void equalRequestsAreAnsweredEach() {
        Entry ban = new Entry.Ban("node", true);
        PendingRequests.Request first = requests.add(ban, LIMIT_MS, replies::add);
        requests.add(ban, LIMIT_MS, replies::add);
        first.notProposed("no leader is known");
        requests.onApplied(new Entry.Ban("node", true), Outcome.DONE);
        assertThat(replies).extracting(Reply::result).containsExactly(Result.NOT_PROPOSED, Result.AGREED);
    }

    /** A caller whose outcome does not become known is answered at its limit, and not again. */
    @Test
    void aCallerIsAnsweredAtItsLimit() {
        PendingRequests.Request request = requests.add(take("a", ""), LIMIT_MS, replies::add);
        nowMs = LIMIT_MS - 10;
        wheel.advanceTo(nowMs);
        assertThat(replies).isEmpty();
        nowMs = LIMIT_MS + 10;
        wheel.advanceTo(nowMs);
        request.applied(new Outcome(true, 0, "a"));
        assertThat(replies).extracting(Reply::result).containsExactly(Result.UNKNOWN);
        assertThat(requests.isAbandoned("a")).isTrue();
    }

    /** Guards callers whose answer from the leader is lost: the entry as it is applied here answers them, once. */
    @Test
    void anEntryThatIsAppliedHereAnswersItsCaller() {
        PendingRequests.Request request = requests.add(take("a", ""), LIMIT_MS, replies::add);
        requests.onApplied(take("b", ""), Outcome.refused("another"));
        assertThat(replies).isEmpty();
        requests.onApplied(take("a", ""), new Outcome(true, 0, "a"));
        request.applied(new Outcome(true, 0, "a"));
        request.unknown();
        assertThat(replies).containsExactly(new Reply(Result.AGREED, "a"));
        assertThat(requests.isAbandoned("a")).isFalse();
    }

    /** Guards against a job without a key that runs after its caller was told that the outcome is not known. */
    @Test
    void anUnknownOutcomeAbandonsAJobWithoutAKeyOnly() {
        requests.add(take("a", ""), LIMIT_MS, replies::add).unknown();
        requests.add(take("b", "key"), LIMIT_MS, replies::add).unknown();
        requests.onApplied(take("a", ""), new Outcome(true, 0, "a"));
        assertThat(replies).extracting(Reply::result).containsExactly(Result.UNKNOWN, Result.UNKNOWN);
        assertThat(requests.isAbandoned("a")).isTrue();
        assertThat(requests.isAbandoned("b"))
                .as("may have been submitted again under its key")
                .isFalse();
    }

    /** Guards the difference between what has no effect, which may be tried again, and what may still have one. */
    @Test
    void whatWasNotProposedIsNotAbandoned() {
        PendingRequests.Request request = requests.add(take("a", ""), LIMIT_MS, replies::add);
        request.notProposed("the fleet is being founded");
        requests.abandonAll();
        assertThat(replies).containsExactly(new Reply(Result.NOT_PROPOSED, "the fleet is being founded"));
        assertThat(requests.isAbandoned("a")).isFalse();
        requests.add(new Entry.CallOff("c"), LIMIT_MS, replies::add);
        requests.abandonAll();
        assertThat(replies).extracting(Reply::result).containsExactly(Result.NOT_PROPOSED, Result.UNKNOWN);
    }
}
