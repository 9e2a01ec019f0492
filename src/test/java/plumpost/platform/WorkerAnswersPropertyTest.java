package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import plumpost.SocketRig;

/** Generated answers of workers to orders, sound and mutated: only a sound one serves, and none lets an order run again. */
class WorkerAnswersPropertyTest {
    /** Answers of each try; {@code -Dplumpost.generatedAnswers} sets another number. */
    private static final int ANSWERS = Integer.getInteger("plumpost.generatedAnswers", 500);

    private static final int MUTATIONS = 14;
    private static final double ANSWERED_WITHIN_MS = 21_000;

    private static String oneOf(SplittableRandom random, String... texts) {
        return texts[random.nextInt(texts.length)];
    }

    private static String line(SplittableRandom random, String id, String rest) {
        String own = "\"id\":\"" + id + "\"";
        String from = "\"from\":\"node1\"";
        return "{" + (random.nextBoolean() ? own + "," + from + "," + rest : rest + "," + from + "," + own) + "}"
                + oneOf(random, "\n", "\r\n", "\n\n");
    }

    /** Returns the final line of a mutation, or a sound one for a number that is none of them. */
    private static String lastLine(SplittableRandom random, String id, int mutation) {
        String done = "\"state\":\"done\"";
        String result = "\"result\":\"r-" + id + "\"";
        return switch (mutation) {
            case 0 -> line(random, id, done);
            case 1 -> line(random, id, done + ",\"result\":" + oneOf(random, "null", "1", "true", "{}", "[\"r\"]"));
            case 2 -> line(random, id, done + "," + result + ",\"result\":\"s\"");
            case 3 -> line(random, id, "\"state\":\"failed\"," + done + "," + result);
            case 4 -> line(random, id, "\"id\":\"other\"," + done + "," + result);
            case 5 -> line(random, "other", done + "," + result);
            case 6 ->
                line(random, id, oneOf(random, "\"state\":\"Done\"", "\"state\":null", "\"state\":1") + "," + result);
            case 7 -> line(random, id, done + "," + result).replace("}", "");
            case 8 ->
                line(random, id, done + "," + result)
                        + line(random, id, oneOf(random, "\"state\":\"failed\"", done + ",\"result\":\"s\""));
            case 9 -> "rubbish\n" + line(random, id, done + "," + result);
            default -> line(random, id, oneOf(random, done + "," + result, result + ",\"load\":{\"queue\":1}," + done));
        };
    }

    private static String answer(SplittableRandom random, String id, int mutation) {
        String lines = oneOf(random, "", line(random, id, "\"state\":\"started\""))
                + oneOf(random, "", line(random, id, "\"state\":\"running\",\"share\":0.4"))
                + lastLine(random, id, mutation);
        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        String size = Integer.toHexString(lines.length());
        return switch (mutation) {
            case 10 -> head + size + " rubbish\r\n" + lines + "\r\n0\r\n\r\n";
            case 11 -> head + SocketRig.chunk(lines) + "0\r\nno trailer\r\n\r\n";
            case 12 -> head + SocketRig.chunk(lines) + "0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n";
            case 13 ->
                "HTTP/1.1 " + oneOf(random, "500 Oops", "404 None", "204 Nothing") + "\r\nContent-Length: 0\r\n\r\n";
            default ->
                head + oneOf(random, "", "00") + size + oneOf(random, "", ";a", " ; a=\"b\"") + "\r\n" + lines
                        + "\r\n0\r\n" + oneOf(random, "", "X-Sum: 1\r\n") + "\r\n";
        };
    }

    /** Guards against a result that no worker gave, and against a second run behind an answer that can't be read. */
    @Property(tries = 40, seed = "56", shrinking = ShrinkingMode.OFF)
    void onlySoundAnswersServe(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int[] mutation = new int[1];
        AtomicInteger runs = new AtomicInteger();
        String[] sent = new String[1];
        MemoryFront front = new MemoryFront(id -> {
            runs.incrementAndGet();
            sent[0] = answer(random, id, mutation[0]);
            return sent[0];
        });
        for (int i = 0; i < ANSWERS; i++) {
            mutation[0] = random.nextInt(2 * MUTATIONS); // about half are sound
            runs.set(0);
            MemoryFront.ClientPeer client = front.connect();
            client.send(SocketRig.jobRequest("pickup-order", "o" + i, "", "x"));
            double end = front.nowMs() + ANSWERED_WITHIN_MS;
            while (client.text().isEmpty() && front.nowMs() < end) {
                front.advance();
            }
            boolean sound = mutation[0] >= MUTATIONS;
            assertThat(client.text())
                    .as("mutation %s of %s", mutation[0], sent[0])
                    .startsWith(sound ? "HTTP/1.1 200 " : "HTTP/1.1 500 ");
            assertThat(client.text().endsWith("r-o" + i)).isEqualTo(sound);
            assertThat(runs.get()).as("runs behind %s", sent[0]).isEqualTo(1);
            client.close();
            waitUntilWorkersRecover(front, sound);
        }
    }

    /** Lets the decision module forget the failures of workers, so that the next order finds one. */
    private static void waitUntilWorkersRecover(MemoryFront front, boolean sound) {
        for (double end = front.nowMs() + (sound ? 0 : 2_000); front.nowMs() < end; ) {
            front.advance();
        }
    }
}
