package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import plumpost.SocketRig;

/** Generated requests, sound and mutated: each sound one is served its own result, and no other one is served. */
class SoundRequestsPropertyTest {
    /** Requests of each try; {@code -Dplumpost.generatedRequests} sets another number. */
    private static final int REQUESTS = Integer.getInteger("plumpost.generatedRequests", 1_000);

    private static final double ANSWER_WITHIN_MS = 3_000;
    private static final int MAX_MUTATIONS = 3;
    /** Less than the deadline of the class, for which an ended id is known. */
    private static final double KNOWN_FOR_MS = 7_000;

    private static final String NO_ID = "not an id";

    /** Guards against a request that is read otherwise than it was meant, however it is split. */
    @Property(tries = 40, seed = "55", shrinking = ShrinkingMode.OFF)
    void onlySoundRequestsAreServed(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        MemoryFront front = new MemoryFront(SocketRig::doneAnswer);
        String knownId = NO_ID;
        double knownUntilMs = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "i" + i;
            GeneratedRequest request = new GeneratedRequest(random, id);
            boolean mutated = random.nextInt(4) > 0 && i > 0;
            for (int left = mutated ? 1 + random.nextInt(MAX_MUTATIONS) : 0; left > 0; left--) {
                request.mutate(front.nowMs() < knownUntilMs ? knownId : NO_ID);
            }
            boolean soundAhead = random.nextInt(4) == 0;
            boolean soundBehind = random.nextInt(4) == 0 && !request.swallowsWhatFollows();
            String ahead = soundAhead ? new GeneratedRequest(random, id + "ahead").bytes() : "";
            String behind = soundBehind ? new GeneratedRequest(random, id + "behind").bytes() : "";
            MemoryFront.ClientPeer client = front.connect();
            if (request.mustBeReadWhole()) {
                client.send(ahead + request.bytes() + behind);
            } else {
                sendInPieces(random, client, ahead + request.bytes() + behind);
            }
            int expected = (soundAhead ? 1 : 0) + (mutated ? 0 : 1 + (soundBehind ? 1 : 0));
            awaitAnswers(front, client, expected, mutated);
            String text = client.text();
            assertThat(text.split("HTTP/1.1 200 OK\r\n", -1).length - 1)
                    .as("answers 200 to %s, got %s", request, text)
                    .isEqualTo(expected);
            assertThat(text.contains("r-" + id) && text.endsWith("r-" + id) && mutated)
                    .as("a result for %s", request)
                    .isFalse();
            if (mutated) {
                assertThat(text.matches("(?s).*HTTP/1.1 [45][0-9][0-9] .*") || client.isClosed())
                        .as("an error or a close for %s", request)
                        .isTrue();
            } else {
                assertThat(text).as("the result of %s", request).contains("r-" + id);
                knownId = id;
                knownUntilMs = front.nowMs() + KNOWN_FOR_MS;
            }
            client.close();
        }
        assertThat(front.counters.get("guard.foreign_result")).isZero();
    }

    private static void sendInPieces(SplittableRandom random, MemoryFront.ClientPeer client, String bytes) {
        int maxPiece = random.nextBoolean() ? 8 : 400;
        for (int at = 0; at < bytes.length(); ) {
            int end = Math.min(bytes.length(), at + 1 + random.nextInt(maxPiece));
            client.send(bytes.substring(at, end));
            at = end;
        }
    }

    private static void awaitAnswers(MemoryFront front, MemoryFront.ClientPeer client, int served, boolean mutated) {
        for (double end = front.nowMs() + ANSWER_WITHIN_MS;
                front.nowMs() < end && !client.isClosed();
                front.advance()) {
            String text = client.text();
            boolean allServed = text.split("HTTP/1.1 200 OK\r\n", -1).length - 1 >= served;
            if (allServed && (!mutated || text.matches("(?s).*HTTP/1.1 [45][0-9][0-9] .*"))) {
                return;
            }
        }
    }
}
