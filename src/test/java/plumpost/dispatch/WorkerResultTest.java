package plumpost.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/** Whose result it is: that of a submission, which another one of equal content is not. */
class WorkerResultTest {
    private static JobSpec submission() {
        return new JobSpec("a", 0, null, ByteBuffer.allocate(1), 1, 1, 1, 1, 0, null, false, null);
    }

    /** Guards against a result told to a client that submitted another job under the same id. */
    @Test
    void aResultIsForItsOwnSubmissionOnly() {
        JobSpec own = submission();
        JobSpec equal = submission();
        OpenJob job = new OpenJob(own, null, 0, null);
        WorkerResult result =
                WorkerResult.of(new Attempt(null, job, "n", null, null, 0), ByteBuffer.wrap(new byte[] {1}));
        assertThat(own).isEqualTo(equal);
        assertThat(result.isFor(own)).isTrue();
        assertThat(result.isFor(equal)).isFalse();
        assertThat(result.isFor(null)).isFalse();
        assertThat(WorkerResult.kept(result.bytes()).isFor(null)).isFalse();
    }
}
