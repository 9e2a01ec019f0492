package plumpost.gearman;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import plumpost.Scenario;
import plumpost.config.GearmanConfig;
import plumpost.gearman.Packet.Type;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.peers.Fleet;
import plumpost.peers.Ledger;

/** Answers to requests of all kinds come in the order of the requests, while the fleet answers some of them late. */
class AnswerOrderTest {
    /** What a client can ask for that has exactly one answer, in its place. */
    private enum Kind {
        COVERED,
        SCHEDULED,
        PLAIN,
        UNKNOWN_FUNCTION,
        TOO_LARGE,
        ECHO,
        STATUS,
        OPTION
    }

    /** Guards callers against foreign answers, at random mixtures of requests, split at random bytes. */
    @Property(tries = 300)
    void answersComeInTheOrderOfTheRequests(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 400) int count, @ForAll boolean large) {
        Client client = new Client(seed);
        client.ledgerAnswersAtOnce = client.random.nextInt(5) == 0;
        for (int i = 0; i < count; i++) {
            client.request(Kind.values()[client.random.nextInt(Kind.values().length)], i);
        }
        client.deliver(large ? 65_536 : 100);
        client.assertAnswersInOrder();
    }

    /**
     * Guards a client that sends hundreds of covered orders in one write: from the 258th on each was answered ERROR before the
     * first was answered, and callers got each other's results.
     */
    @Test
    void hundredsOfCoveredOrdersInOneWriteAreAnsweredInOrder() {
        Client client = new Client(0);
        for (int i = 0; i < 3000; i++) {
            client.request(Kind.COVERED, i);
        }
        client.deliver(65_536);
        client.assertAnswersInOrder();
    }

    /** Guards the stack: requests that waited and are answered within their own calls are run one after another. */
    @Test
    void thousandsOfRequestsThatWaitedAreRunInALoop() {
        Client client = new Client(0);
        for (int i = 0; i < 5000; i++) {
            client.request(Kind.COVERED, i);
        }
        client.handler.received(ByteBuffer.wrap(client.requests.toByteArray()));
        client.runTurns();
        client.ledgerAnswersAtOnce = true;
        client.ledgerAnswers.poll().run();
        assertThat(client.ledgerAnswers).isEmpty();
        client.assertAnswersInOrder();
    }

    /** Guards the requests behind one that fails: their connection ends, and they do not wait without an end. */
    @Test
    void aRequestThatFailsEndsItsConnection() {
        Client client = new Client(0);
        client.send(Type.SUBMIT_JOB_BG, "pickup-order", "", "yes");
        client.send(Type.SUBMIT_JOB_BG, "pickup-order", "", "fault");
        client.send(Type.ECHO_REQ, "behind");
        client.handler.received(ByteBuffer.wrap(client.requests.toByteArray()));
        assertThat(client.connection.closed).isFalse();
        assertThatThrownBy(() -> client.ledgerAnswers.poll().run()).hasMessage("fault");
        assertThat(client.connection.closed).isTrue();
    }

    /** A client on a connection of a front whose ledger answers when the test wants, and the answers that it is to get. */
    private static final class Client {
        /** A ledger whose answers the test gives when it wants; what it accepts is known by the handle {@code order BODY}. */
        private final ArrayDeque<Runnable> ledgerAnswers = new ArrayDeque<>();

        private final Scenario scenario;
        private final Random random;
        private final RecordingConnection connection = new RecordingConnection();
        private final ConnectionHandler handler;
        private final ByteArrayOutputStream requests = new ByteArrayOutputStream();
        private final List<String> expected = new ArrayList<>();
        /** Whether the ledger answers within the call, as it does where nothing can be proposed. */
        private boolean ledgerAnswersAtOnce;

        Client(long seed) {
            random = new Random(seed);
            scenario = new Scenario(0, Scenario.SETTINGS, 1024, smallPackets(), 4096);
            scenario.gearman.joinFleet(stub(Fleet.class, "ledger", stub(Ledger.class, null, null)));
            handler = scenario.gearman.accept(connection);
        }

        private static GearmanConfig smallPackets() {
            GearmanConfig.Limits limits =
                    new GearmanConfig.Limits(1000, 8 << 20, 0, 1024, 0, 65_536, 10_000, 8 << 20, 0, 0, 0);
            return new GearmanConfig(null, 0, 0, List.of(), 3_600_000, 30_000, 0, Set.of(), limits);
        }

        /** Makes a stub that covers orders, remembers those that it takes, and answers all else with null, false or nothing. */
        @SuppressWarnings("unchecked")
        private <T> T stub(Class<T> type, String method, Object value) {
            return (T) Proxy.newProxyInstance(
                    type.getClassLoader(), new Class<?>[] {type}, (proxy, called, arguments) -> {
                        if (called.getName().equals(method)) {
                            return value;
                        }
                        return switch (called.getName()) {
                            case "covers" -> arguments[0].equals("pickup-order");
                            case "takesStartTimes" -> true;
                            case "take" -> take((Ledger.Order) arguments[0], (Consumer<Fleet.Reply>) arguments[2]);
                            default -> called.getReturnType() == boolean.class ? false : null;
                        };
                    });
        }

        private Object take(Ledger.Order order, Consumer<Fleet.Reply> callback) {
            String text = new String(order.body(), StandardCharsets.US_ASCII);
            if (text.startsWith("fault")) {
                throw new IllegalStateException(text);
            }
            Fleet.Reply reply = text.startsWith("no")
                    ? new Fleet.Reply(Fleet.Result.REFUSED, text)
                    : new Fleet.Reply(Fleet.Result.AGREED, text);
            if (ledgerAnswersAtOnce) {
                callback.accept(reply);
            } else {
                ledgerAnswers.add(() -> callback.accept(reply));
            }
            return null;
        }

        private void request(Kind kind, int number) {
            String text = (random.nextInt(4) == 0 ? "no" : "yes") + number;
            boolean agreed = text.startsWith("yes");
            switch (kind) {
                case COVERED -> send(Type.SUBMIT_JOB_BG, "pickup-order", "", text);
                case SCHEDULED -> send(Type.SUBMIT_JOB_EPOCH, "pickup-order", "", 4_000_000_000L, text);
                case PLAIN -> send(Type.SUBMIT_JOB_BG, "route-plan", "", text);
                case UNKNOWN_FUNCTION -> send(Type.SUBMIT_JOB_BG, "none" + number, "", text);
                case TOO_LARGE -> send(Type.SUBMIT_JOB_BG, "pickup-order", "", "x".repeat(2000));
                case ECHO -> send(Type.ECHO_REQ, text);
                case STATUS -> send(Type.GET_STATUS, text);
                default -> send(Type.OPTION_REQ, text);
            }
            expected.add(
                    switch (kind) {
                        case COVERED, SCHEDULED -> agreed ? "JOB_CREATED " + text : "ERROR fleet " + text;
                        case PLAIN -> "JOB_CREATED H:t:*";
                        case UNKNOWN_FUNCTION -> "ERROR unknown_function none" + number;
                        case TOO_LARGE -> "ERROR too_large *";
                        case ECHO -> "ECHO_RES " + text;
                        case STATUS -> "STATUS_RES " + text + " *";
                        default -> "ERROR unknown_option " + text;
                    });
        }

        private void send(Type type, Object... arguments) {
            for (ByteBuffer part : Packet.encode(Packet.REQUEST, type, arguments)) {
                byte[] bytes = new byte[part.remaining()];
                part.get(bytes);
                requests.writeBytes(bytes);
            }
        }

        /** Delivers the requests in pieces while they are read, with later turns and answers of the ledger at random moments. */
        private void deliver(int maxPieceBytes) {
            ByteBuffer unread = ByteBuffer.wrap(requests.toByteArray());
            while (unread.hasRemaining() || !ledgerAnswers.isEmpty() || scenario.runNextEvent()) {
                if (random.nextBoolean() && scenario.runNextEvent()) {
                    continue;
                }
                boolean reads = unread.hasRemaining() && !connection.paused && handler.readLimit() > 0;
                if (reads && (ledgerAnswers.isEmpty() || random.nextBoolean())) {
                    int length = Math.min(unread.remaining(), 1 + random.nextInt(maxPieceBytes));
                    handler.received(unread.slice(unread.position(), length));
                    unread.position(unread.position() + length);
                } else if (ledgerAnswers.isEmpty() && unread.hasRemaining()) {
                    assertThat(scenario.runNextEvent())
                            .as("a connection that is not read waits for an answer or a turn")
                            .isTrue();
                } else if (!ledgerAnswers.isEmpty()) {
                    ledgerAnswers.poll().run();
                }
            }
            assertThat(connection.paused).isFalse();
        }

        private void runTurns() {
            while (scenario.runNextEvent()) {
                continue;
            }
        }

        private void assertAnswersInOrder() {
            List<String> answers = connection.answers();
            assertThat(answers).hasSameSizeAs(expected);
            for (int i = 0; i < answers.size(); i++) {
                String wanted = expected.get(i);
                if (wanted.endsWith("*")) {
                    assertThat(answers.get(i)).startsWith(wanted.substring(0, wanted.length() - 1));
                } else {
                    assertThat(answers.get(i)).isEqualTo(wanted);
                }
            }
        }
    }

    /** Records what is written, and whether reading is paused. */
    private static final class RecordingConnection implements Connection {
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();
        private boolean paused;
        private boolean closed;

        List<String> answers() {
            PacketReader reader = new PacketReader(Packet.RESPONSE, false, 1 << 20);
            ByteBuffer bytes = ByteBuffer.wrap(written.toByteArray());
            List<String> answers = new ArrayList<>();
            try {
                for (Packet packet = reader.next(bytes); packet != null; packet = reader.next(bytes)) {
                    StringBuilder text = new StringBuilder(packet.type().name());
                    for (int i = 0; i < packet.arguments().size(); i++) {
                        text.append(' ').append(packet.text(i));
                    }
                    answers.add(text.toString());
                }
            } catch (PacketReader.BadPacket e) {
                throw new IllegalStateException(e);
            }
            return answers;
        }

        @Override
        public void write(ByteBuffer... parts) {
            for (ByteBuffer part : parts) {
                byte[] bytes = new byte[part.remaining()];
                part.duplicate().get(bytes);
                written.writeBytes(bytes);
            }
        }

        @Override
        public void pauseReading() {
            paused = true;
        }

        @Override
        public void resumeReading() {
            paused = false;
        }

        @Override
        public boolean flushed() {
            return true;
        }

        @Override
        public void finish() {}

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
