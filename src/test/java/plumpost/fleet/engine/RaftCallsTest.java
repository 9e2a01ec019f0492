package plumpost.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.protocol.RaftClientReply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Calls to the fleet that cannot be sent, or are not answered in time. */
class RaftCallsTest {
    /** Returns what the listener of a call hears. */
    private static String resultOf(RaftCalls calls, RaftCalls.Call call) throws Exception {
        CompletableFuture<String> heard = new CompletableFuture<>();
        calls.call(call, new RaftCalls.ResultListener() {
            @Override
            public void answered(RaftClientReply reply) {
                heard.complete("answered");
            }

            @Override
            public void notSent(String reason) {
                heard.complete("not sent: " + reason);
            }

            @Override
            public void unanswered() {
                heard.complete("unanswered");
            }
        });
        return heard.get(10, TimeUnit.SECONDS);
    }

    private static RaftCalls calls(RaftCalls.ClientFactory factory, long timeoutMs) {
        return new RaftCalls(factory, 1, timeoutMs, Thread::new, Runnable::run);
    }

    /** Guards callers' answers, which carry the reason: an exception without a message has one too. */
    @Test
    @Timeout(20)
    void aCallWithoutAClientIsNotSentForAReason() throws Exception {
        try (RaftCalls withMessage = calls(
                        () -> {
                            throw new IOException("not a member yet");
                        },
                        1_000);
                RaftCalls withoutMessage = calls(
                        () -> {
                            throw new IllegalStateException();
                        },
                        1_000)) {
            assertThat(resultOf(withMessage, client -> null)).isEqualTo("not sent: not a member yet");
            assertThat(resultOf(withoutMessage, client -> null)).isEqualTo("not sent: java.lang.IllegalStateException");
        }
    }
}
