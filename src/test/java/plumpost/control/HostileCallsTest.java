package plumpost.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import plumpost.Scenario;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;

/** Feeds arbitrary bytes to the operators' listener in chunks of any size: at most one answer, and never an exception. */
class HostileCallsTest {
    private static final List<String> CALLS = List.of(
            "GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n",
            "GET /control/counters HTTP/1.1\r\nHost: h\r\n\r\n",
            "POST /control/workers/node1/offline HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
            "POST /control/workers/node1/online HTTP/1.0\r\n\r\n",
            "POST /control/workers/node1/offline HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");

    /** Any bytes in any chunks get at most one answer, with one of the expected statuses, after which the connection is closed. */
    @Property(tries = 600, seed = "600")
    void anyBytesInAnyPiecesGetAtMostOneAnswer(@ForAll("calls") byte[] bytes, @ForAll("cuts") List<Integer> cuts) {
        Scenario scenario = new Scenario(1);
        RecordingConnection connection = new RecordingConnection();
        ConnectionHandler call = scenario.control.accept(connection);
        int offset = 0;
        for (int cut : cuts) {
            int end = Math.min(bytes.length, offset + cut);
            call.received(ByteBuffer.wrap(bytes, offset, end - offset).slice());
            offset = end;
        }
        call.received(ByteBuffer.wrap(bytes, offset, bytes.length - offset).slice());
        String output = new String(connection.written(), StandardCharsets.ISO_8859_1);
        assertThat(scenario.counters.get("net.fault") + scenario.counters.get("guard.fault"))
                .isZero();
        int answers = output.split("HTTP/1.1 ", -1).length - 1;
        assertThat(answers).isLessThanOrEqualTo(1);
        if (answers == 1) {
            assertThat(output).matches("(?s)HTTP/1.1 (200|400|404|405|413|431|503) .*");
            assertThat(connection.closed).isTrue();
        }
    }

    @Provide
    Arbitrary<byte[]> calls() {
        Arbitrary<byte[]> valid = Arbitraries.of(CALLS).map(copy -> copy.getBytes(StandardCharsets.ISO_8859_1));
        Arbitrary<byte[]> mangled = valid.flatMap(bytes -> Arbitraries.integers()
                .between(0, bytes.length - 1)
                .flatMap(index -> Arbitraries.bytes().map(replacement -> {
                    byte[] copy = bytes.clone();
                    copy[index] = replacement;
                    return copy;
                })));
        Arbitrary<byte[]> noise = Arbitraries.bytes().array(byte[].class).ofMaxSize(20_000);
        return Arbitraries.oneOf(valid, mangled, noise);
    }

    @Provide
    Arbitrary<List<Integer>> cuts() {
        return Arbitraries.integers().between(1, 64).list().ofMaxSize(40);
    }

    /** A connection that records what is written to it. */
    private static final class RecordingConnection implements Connection {
        private final List<ByteBuffer> out = new ArrayList<>();
        private boolean closed;

        @Override
        public void write(ByteBuffer... parts) {
            for (ByteBuffer part : parts) {
                out.add(part.duplicate());
            }
        }

        byte[] written() {
            int size = out.stream().mapToInt(ByteBuffer::remaining).sum();
            ByteBuffer bytes = ByteBuffer.allocate(size);
            out.forEach(b -> bytes.put(b.duplicate()));
            return bytes.array();
        }

        @Override
        public boolean flushed() {
            return true;
        }

        @Override
        public void finish() {
            closed = true;
        }

        @Override
        public void closeNow() {
            closed = true;
        }

        @Override
        public boolean readAvailable() {
            return true;
        }
    }
}
