package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.Scenario;
import plumpost.SocketRig;
import plumpost.SocketRig.Peer;

/** Workers' final lines for an order: only one that names one result serves it, and none lets it run again. */
class WorkerAnswersTest {
    private static String answerTo(String lines) throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("pickup-order", "a", "", "towels"));
            Peer node = rig.nodes.get(0).accept();
            rig.advanceUntil("the order", 50, () -> node.text().endsWith("towels"));
            node.send(SocketRig.CHUNKED + SocketRig.chunk(lines) + "0\r\n\r\n");
            String answer = client.expect("HTTP/1.1 ");
            rig.advance(500);
            assertThat(rig.counters.get("attempts.out")).isEqualTo(1);
            return answer;
        }
    }

    /** Guards against a result made up by the reader: none, of another type, or one of two. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"id\":\"a\",\"state\":\"done\"}\n",
                "{\"id\":\"a\",\"state\":\"done\",\"result\":null}\n",
                "{\"id\":\"a\",\"state\":\"done\",\"result\":1}\n",
                "{\"id\":\"a\",\"state\":\"done\",\"result\":[\"r\"]}\n",
                "{\"id\":\"a\",\"state\":\"done\",\"result\":\"r\",\"result\":\"s\"}\n",
                "{\"id\":\"a\",\"state\":\"failed\",\"state\":\"done\",\"result\":\"r\"}\n",
                "{\"id\":\"b\",\"id\":\"a\",\"state\":\"done\",\"result\":\"r\"}\n",
                "{\"id\":\"b\",\"state\":\"done\",\"result\":\"r\"}\n",
                "{\"id\":\"a\",\"state\":\"done\",\"result\":\"r\"}\n{\"id\":\"a\",\"state\":\"failed\"}\n",
                "{\"id\":\"a\",\"state\":\"done\",\"result\":\"r\"}\n{\"id\":\"a\",\"state\":\"done\",\"result\":\"s\"}\n",
                "{\"id\":\"a\",\"state\":\"done\",\"result\":\"r\"}\nrubbish\n",
                "{\"id\":\"a\",\"state\":\"done\",\"result\":\"r\"} {}\n"
            })
    void anAmbiguousFinalLineServesNothing(String lines) throws IOException {
        assertThat(answerTo(lines)).startsWith("HTTP/1.1 500 ");
    }

    /** Sound final lines stay sound: in any order of fields, repeated alike, followed by blank lines, empty results. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"result\":\"r\",\"state\":\"done\",\"from\":\"node0\",\"id\":\"a\"}\n",
                "{\"id\":\"a\",\"state\":\"done\",\"result\":\"r\"}\r\n\r\n\n",
                "{\"id\":\"a\",\"state\":\"done\",\"result\":\"r\"}",
                "{\"id\":\"a\",\"state\":\"done\",\"result\":\"\",\"load\":{\"queue\":1}}\n",
                "{\"id\":\"a\",\"state\":\"done\",\"result\":\"r\"}\n{\"id\":\"a\",\"state\":\"done\",\"result\":\"r\"}\n"
            })
    void aFinalLineThatNamesOneResultServes(String lines) throws IOException {
        assertThat(answerTo(lines)).startsWith("HTTP/1.1 200 ");
    }
}
