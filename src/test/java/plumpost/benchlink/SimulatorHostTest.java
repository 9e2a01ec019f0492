package plumpost.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the host with transcripts of the simulator's protocol: valid, divided among hosts, and malformed ones. */
class SimulatorHostTest {
    private static final String CONFIG = "{\"balancers\":2,\"dcs\":[\"a\"],\"shapes\":[\"k\"],\"locality\":0,"
            + "\"granularityMs\":2.0,\"new\":{\"unknown\":[1]},\"classes\":[{\"name\":\"c\",\"sloMs\":400.0,"
            + "\"deadlineMs\":5000.0,\"effect\":\"free\",\"keyScope\":\"all\",\"windowMs\":5000.0,\"importance\":1.0}],"
            + "\"rules\":{\"coldFrom\":0.2,\"coldMs\":1000.0,\"fallMs\":2000.0,\"fallMultiple\":3.0},"
            + "\"ceilings\":{\"maxAttempts\":3,\"cancelling\":true,\"probes\":true}}";

    private int exit;
    private String errors;

    private String serve(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        exit = new SimulatorHost(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        out,
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run();
        errors = err.toString(StandardCharsets.UTF_8);
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String batch(int seq, double now, String... events) {
        return "{\"event_type\":\"beginBatch\",\"tsMs\":" + now + ",\"seq\":" + seq + "}\n" + String.join("\n", events)
                + "\n{\"event_type\":\"yourTurn\"}\n";
    }

    private static String init(int i) {
        return "{\"event_type\":\"init\",\"i\":" + i + ",\"entropy\":" + (40 + i) + ",\"config\":" + CONFIG + "}\n"
                + "{\"event_type\":\"discovery\",\"i\":" + i + ",\"stamp\":1,\"mode\":\"SAVED\",\"lines\":["
                + workerLine("w1") + "," + workerLine("w2") + "," + workerLine("w3") + "]}";
    }

    private static String workerLine(String worker) {
        return "{\"worker\":\"" + worker + "\",\"area\":0,\"type\":0,\"stripe\":0,\"phase\":\"SERVING\","
                + "\"units\":1.5,\"cameUpMs\":null}";
    }

    private static String jobArrival(int i, String id) {
        return "{\"event_type\":\"knock\",\"i\":" + i + ",\"handle\":\"" + id + "\",\"band\":0,\"team\":0,"
                + "\"affinity\":null,\"patienceLeftMs\":240.0,\"costGuessMs\":12.0,\"needs\":1,\"memory\":null,"
                + "\"retry\":false,\"write\":false,\"returned\":false,\"novel\":[{}]}";
    }

    @Test
    void anEmptyBatchIsAnswered() throws IOException {
        assertEquals(
                "{\"event_type\":\"next\",\"seq\":1}\n",
                serve(batch(1, 8412.25)).replaceFirst("^\n", ""));
        assertEquals(0, exit);
    }

    @Test
    void aJobIsSentAndUnknownEventsAreSkipped() throws IOException {
        String reply = serve(batch(1, 1, init(3))
                + batch(2, 5.5, "{\"event_type\":\"sunrise\",\"i\":99}", jobArrival(3, "9b9a6df85d3a91c4")));
        assertTrue(reply.contains("\"event_type\":\"assign\",\"i\":3,\"handle\":\"9b9a6df85d3a91c4\""), reply);
        assertTrue(reply.endsWith("{\"event_type\":\"next\",\"seq\":2}\n"), reply);
        assertEquals(0, exit);
        assertEquals("", errors);
    }

    @Test
    void anInstanceMayRestartWithinABatch() throws IOException {
        String reply = serve(batch(1, 1, init(0))
                + batch(2, 2, "{\"event_type\":\"destroy\",\"i\":0}", init(0), jobArrival(0, "00000000000000aa")));
        assertTrue(reply.contains("assign"), reply);
        assertEquals(0, exit);
    }

    @Test
    void instancesActTheSameTogetherAndApart() throws IOException {
        List<String> together = actionLines(serve(batches(0, 1)));
        List<String> apart = new ArrayList<>(actionLines(serve(batches(0))));
        apart.addAll(actionLines(serve(batches(1))));
        assertTrue(together.stream().anyMatch(l -> l.contains("assign")));
        assertEquals(
                together.stream().sorted().toList(), apart.stream().sorted().toList());
    }

    private static List<String> actionLines(String reply) {
        return reply.lines()
                .filter(l -> !l.isEmpty() && !l.contains("\"next\""))
                .toList();
    }

    private static String batches(int... instances) {
        StringBuilder input = new StringBuilder();
        for (int batch = 1; batch < 60; batch++) {
            List<String> events = new ArrayList<>();
            for (int i : instances) {
                if (batch == 1) {
                    events.add(init(i));
                } else {
                    events.add(jobArrival(i, String.format("%08x%08x", i, batch)));
                }
            }
            input.append(batch(batch, batch * 4.0, events.toArray(new String[0])));
        }
        return input.toString();
    }

    @Test
    void malformedInputIsReportedInOneSentence() throws IOException {
        String[] malformedInputs = {
            "hello\n",
            batch(1, 1).replace("{\"event_type\":\"yourTurn\"}\n", ""),
            batch(1, 1, init(0), "{\"event_type\":\"knock\",\"i\":0,\"handle\":\"aa\"}"),
            batch(1, 1, init(0), jobArrival(0, "aa").replace("240.0", "\"long\"")),
            batch(1, 1, jobArrival(7, "aa")),
            batch(1, 1, init(0).replace("\"free\"", "\"fluid\"")),
            batch(1, 1, init(0).replace("\"deadlineMs\":5000.0", "\"deadlineMs\":-1")),
            batch(1, 1, "[1]"),
        };
        String[] expectedMessages = {
            "JSON",
            "input ended inside batch 1",
            "knock: field band is missing",
            "knock: field patienceLeftMs is not a number",
            "knock: field i names the unknown instance 7",
            "field effect has the unknown value fluid",
            "times of class c",
            "not a JSON object"
        };
        for (int i = 0; i < malformedInputs.length; i++) {
            String reply = serve(malformedInputs[i]);
            assertEquals(1, exit, expectedMessages[i]);
            assertTrue(errors.contains(expectedMessages[i]), expectedMessages[i] + " in " + errors);
            assertFalse(errors.contains("\tat "), "the message must not contain a stack trace");
            assertFalse(reply.contains("assign"), "no actions may be written for malformed input");
        }
    }

    @Test
    void aFailingInstanceIsReportedAndEndsTheHost() throws IOException {
        String reply = serve(batch(1, 1, init(0), jobArrival(0, "aa").replace("\"band\":0", "\"band\":9")));
        assertTrue(reply.contains("\"event_type\":\"bailOut\",\"i\":0"), reply);
        assertEquals(1, exit);
    }
}
