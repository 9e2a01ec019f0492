package plumpost.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import plumpost.count.Counters;
import plumpost.net.LoopContext;
import plumpost.time.TimerWheel;

/** Claims that two processes of one scheduler make through their common directory. */
class SharedRunClaimsTest {
    private final Counters counters = new Counters();
    private final List<String> log = new ArrayList<>();
    private double nowMs = 1_000;
    private final TimerWheel wheel = new TimerWheel(nowMs);

    @TempDir
    private Path folder;

    private SharedRunClaims process(Path directory) {
        return new SharedRunClaims(directory, new LoopContext(null, () -> nowMs, wheel, counters, log::add));
    }

    /** Guards a job that reaches both processes of an upgrade at once, before or after the other has claimed it. */
    @Test
    void oneOfTwoProcessesMayRunAJob() {
        SharedRunClaims first = process(folder);
        SharedRunClaims second = process(folder);
        assertThat(first.claim("a")).isTrue();
        assertThat(second.isClaimedElsewhere("a")).isTrue();
        assertThat(second.claim("a")).isFalse();
        assertThat(first.isClaimedElsewhere("a")).isFalse();
        assertThat(second.claim("b")).isTrue();
        assertThat(process(folder).isClaimedElsewhere("a"))
                .as("a process that starts later, whatever became of the first")
                .isTrue();
    }

    /** Guards a job that never ran: its claim is given back, and the other process may run it. */
    @Test
    void aJobThatNeverRanMayRunInTheOtherProcess() {
        SharedRunClaims first = process(folder);
        SharedRunClaims second = process(folder);
        first.claim("a");
        second.claim("a");
        first.release("a");
        assertThat(first.claim("a")).as("the loser's claim does not stay").isTrue();
        first.release("a");
        assertThat(second.claim("a")).isTrue();
    }

    /** Guards the claims behind a line that a killed process left cut off at any byte. */
    @Test
    void aLineThatWasCutOffIsSkipped() throws IOException {
        process(folder).claim("whole");
        Path file = folder.resolve(SharedRunClaims.FILE_NAME);
        String line = Files.readString(file).strip();
        for (int length = 0; length < line.length(); length++) {
            Files.writeString(file, "\n" + line.substring(0, length), StandardOpenOption.APPEND);
            SharedRunClaims next = process(folder);
            assertThat(next.claim("job" + length)).isTrue();
            assertThat(process(folder).isClaimedElsewhere("job" + length)).isTrue();
        }
        assertThat(process(folder).isClaimedElsewhere("whole")).isTrue();
    }

    /** Guards claims that the directory does not take for a while: they hold here, and are written when it does. */
    @Test
    void claimsAreWrittenOnceTheDirectoryTakesThem() throws IOException {
        Path missing = folder.resolve("missing");
        SharedRunClaims first = process(missing);
        assertThat(first.claim("a")).isTrue();
        assertThat(log).anyMatch(line -> line.startsWith("claims cannot be written"));
        Files.createDirectory(missing);
        nowMs += 200;
        wheel.advanceTo(nowMs);
        assertThat(process(missing).isClaimedElsewhere("a")).isTrue();
    }

    /** Guards the memory that the file takes: a process that is alone keeps the newer half. */
    @Test
    void theFileIsBounded() throws IOException {
        SharedRunClaims only = process(folder);
        int claims = 25_000;
        for (int i = 0; i < claims; i++) {
            only.claim("job" + i);
        }
        assertThat(Files.size(folder.resolve(SharedRunClaims.FILE_NAME))).isLessThan(AppendOnlyFile.MAX_BYTES + 200);
        SharedRunClaims next = process(folder);
        assertThat(next.isClaimedElsewhere("job" + (claims - 1))).isTrue();
        assertThat(next.isClaimedElsewhere("job0")).isFalse();
        assertThat(only.claim("job" + (claims - 1))).isTrue();
    }
}
