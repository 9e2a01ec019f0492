package plumpost.gearman;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import plumpost.gearman.Packet.Type;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;

/**
 * One Gearman connection, whose peer may act as client, worker and admin at once. Reads packets and admin lines and
 * passes them to the part that handles them.
 */
final class GearmanConnection implements ConnectionHandler {
    /** A packet that is unfinished for this long, plus its size at {@link #MIN_BYTES_PER_MS}, ends the connection. */
    private static final double SLOW_GRACE_MS = 10_000;

    private static final double MIN_BYTES_PER_MS = 16;

    /** Packets and lines handled in one turn of the loop; the others of a peer that sends many wait behind other peers. */
    private static final int MAX_REQUESTS_PER_TURN = 256;

    /** Bytes read at a time, of which a flooding peer leaves most to later turns. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    /** Bytes of a long admin answer that are written at a time. */
    private static final int ANSWER_CHUNK_BYTES = 64 * 1024;

    final Connection connection;
    private final GearmanFront front;
    private final long number;
    private final PacketReader reader;
    private final AnswerOrder answerOrder;
    private final double connectedAtMs;
    private ClientSession client;
    private WorkerSession worker;
    private String clientId;
    private boolean closed;
    private boolean reading;
    private double pendingSinceMs = Double.NaN;
    private boolean hasReceivedBytes;
    /** Received bytes that the next turn handles. */
    private ByteBuffer leftover = EMPTY;

    private boolean leftoverScheduled;
    /** Whether the end has been looked for since the read that is being handled. */
    private boolean lookedForEnd;
    /** Whether all that had arrived was read when the end was looked for. */
    private boolean readToEnd;

    private ByteBuffer adminAnswer;

    GearmanConnection(GearmanFront front, Connection connection, long number) {
        connectedAtMs = front.context.clock().nowMs();
        this.front = front;
        this.number = number;
        this.connection = connection;
        answerOrder = new AnswerOrder(connection, this::abort);
        reader = new PacketReader(Packet.REQUEST, true, front.config.limits().packetBytes(), front.readBudget);
    }

    void write(Type type, Object... arguments) {
        if (!closed) {
            front.context.counters().count(type.outCounter);
            connection.write(Packet.encode(Packet.RESPONSE, type, arguments));
        }
    }

    /** Whether a packet has been unfinished for too long, in either direction. */
    boolean isSlow(double nowMs) {
        boolean pending = reader.inProgress() && !answerOrder.isPaused() || !connection.flushed();
        pendingSinceMs = !pending ? Double.NaN : Double.isNaN(pendingSinceMs) ? nowMs : pendingSinceMs;
        return pending && nowMs - pendingSinceMs > SLOW_GRACE_MS + reader.claimedBytes() / MIN_BYTES_PER_MS;
    }

    /** How long the connection has been open without receiving a byte; 0 once it has received one. */
    double silentMs(double nowMs) {
        return hasReceivedBytes ? 0 : nowMs - connectedAtMs;
    }

    /** The worker's side, or null if the peer has sent no worker packet. */
    WorkerSession worker() {
        return worker;
    }

    /** The client id that the peer has set, or null. */
    String clientId() {
        return clientId;
    }

    double connectedAtMs() {
        return connectedAtMs;
    }

    /** Returns the connection's line in the answer to the admin command {@code workers}. */
    String describe() {
        StringBuilder text =
                new StringBuilder(number + " " + connection.peer() + ' ' + (clientId == null ? "-" : clientId) + " :");
        if (worker != null) {
            worker.functions().forEach(function -> text.append(' ').append(function.name));
        }
        return text.append('\n').toString();
    }

    @Override
    public int readLimit() {
        return leftover.hasRemaining() || answerOrder.isPaused() ? 0 : MAX_READ_BYTES;
    }

    @Override
    public void received(ByteBuffer input) {
        hasReceivedBytes = true;
        if (reading) {
            keepForNextTurn(input); // read to look for the end, while the bytes before these are being handled
            return;
        }
        handle(input);
        if (!closed && input.hasRemaining()) {
            ByteBuffer rest = ByteBuffer.allocate(input.remaining()).put(input).flip();
            leaveToNextTurn(rest);
        }
    }

    /** Leaves the rest of what was being handled to the next turn, ahead of what was read meanwhile. */
    private void leaveToNextTurn(ByteBuffer rest) {
        ByteBuffer readMeanwhile = leftover;
        leftover = rest;
        keepForNextTurn(readMeanwhile);
        scheduleLeftover();
    }

    private void keepForNextTurn(ByteBuffer input) {
        if (input.hasRemaining()) {
            leftover = ByteBuffer.allocate(leftover.remaining() + input.remaining())
                    .put(leftover)
                    .put(input)
                    .flip();
            scheduleLeftover();
        }
    }

    private void scheduleLeftover() {
        if (!leftoverScheduled) {
            leftoverScheduled = true;
            front.context.network().runNextTurn(this::handleLeftover);
        }
    }

    private void handleLeftover() {
        leftoverScheduled = false;
        ByteBuffer input = leftover;
        leftover = EMPTY;
        handle(input);
        if (!closed && input.hasRemaining()) {
            leaveToNextTurn(input);
        } else if (!closed && !leftover.hasRemaining() && !answerOrder.isPaused()) {
            connection.resumeReading();
        }
    }

    /** Handles packets and lines, as many as one turn allows. */
    private void handle(ByteBuffer input) {
        reading = true;
        lookedForEnd = false;
        try {
            for (int handled = 0; !closed && handled < MAX_REQUESTS_PER_TURN && readNext(input); handled++) {
                pendingSinceMs = Double.NaN;
            }
        } finally {
            reading = false;
        }
    }

    /**
     * Reads what the socket holds, including its end; returns whether all of it was read. While a read is being handled, this is
     * done once, and what it finds is handled in the next turn.
     */
    boolean readAvailable() {
        if (closed) {
            return true;
        }
        if (!reading) {
            return connection.readAvailable();
        }
        if (!lookedForEnd) {
            lookedForEnd = true;
            readToEnd = connection.readAvailable();
        }
        return closed || readToEnd;
    }

    /** Returns whether the peer has ended the connection, as far as it has been read. */
    boolean isClosed() {
        return closed;
    }

    /** Handles the next packet or line. Returns false if more bytes are needed. */
    private boolean readNext(ByteBuffer input) {
        try {
            Packet packet = reader.next(input);
            String line = packet == null ? reader.takeLine() : null;
            if (adminAnswer != null && (packet != null || line != null)) {
                error("impatient", "the list that was asked for is not read yet");
            } else if (packet != null) {
                front.context.counters().count(packet.type().inCounter);
                onPacket(packet);
            } else if (line != null) {
                answerOrder.run(line.length(), () -> onAdminLine(line));
            }
            return packet != null || line != null;
        } catch (PacketReader.BadPacket e) {
            if (e.fatal()) {
                error(e.code(), e.getMessage());
            } else {
                front.context.counters().count("gearman.bad." + e.code());
                answerOrder.run(0, () -> write(Type.ERROR, e.code(), e.getMessage()));
            }
            return true;
        }
    }

    private void onAdminLine(String line) {
        if (adminAnswer != null) {
            error("impatient", "the list that was asked for is not read yet");
            return;
        }
        answerOrder.awaitAnswer();
        front.adminCommands.answer(line, this::writeAdminAnswer);
    }

    /**
     * Writes the answer to an admin line. A long answer is written in chunks as the peer reads, so that a list of many
     * jobs is not held in memory twice; only one connection at a time may read a long answer.
     */
    private void writeAdminAnswer(String answer) {
        adminAnswer = ByteBuffer.wrap(answer.getBytes(StandardCharsets.UTF_8));
        if (adminAnswer.remaining() > ANSWER_CHUNK_BYTES) {
            if (front.longAnswerConnection != null && front.longAnswerConnection != this) {
                adminAnswer = null;
                connection.write(ByteBuffer.wrap(
                        "ERR BUSY Another+long+list+is+being+read\n".getBytes(StandardCharsets.US_ASCII)));
                answerOrder.answered();
                return;
            }
            front.longAnswerConnection = this;
        }
        flushed();
    }

    @Override
    public void flushed() {
        if (adminAnswer != null && !closed) {
            int length = Math.min(ANSWER_CHUNK_BYTES, adminAnswer.remaining());
            ByteBuffer chunk = adminAnswer.slice(adminAnswer.position(), length);
            adminAnswer.position(adminAnswer.position() + length);
            boolean last = !adminAnswer.hasRemaining();
            if (last) {
                endAdminAnswer();
            }
            connection.write(chunk);
            if (last) {
                answerOrder.answered();
            }
        }
    }

    private void endAdminAnswer() {
        adminAnswer = null;
        if (front.longAnswerConnection == this) {
            front.longAnswerConnection = null;
        }
    }

    /** Sends an ERROR packet and closes the connection; its jobs are treated as if the peer had disconnected. */
    void error(String code, String message) {
        front.context.counters().count("gearman.bad." + code);
        write(Type.ERROR, code, message);
        ended();
        connection.finish();
    }

    /** Closes the connection at once; its jobs are treated as if the peer had disconnected. */
    private void abort() {
        ended();
        connection.closeNow();
    }

    private void onPacket(Packet packet) {
        switch (packet.type()) {
            case SUBMIT_JOB,
                    SUBMIT_JOB_HIGH,
                    SUBMIT_JOB_LOW,
                    SUBMIT_JOB_BG,
                    SUBMIT_JOB_HIGH_BG,
                    SUBMIT_JOB_LOW_BG,
                    SUBMIT_REDUCE_JOB,
                    SUBMIT_REDUCE_JOB_BACKGROUND,
                    SUBMIT_JOB_SCHED,
                    SUBMIT_JOB_EPOCH,
                    GET_STATUS,
                    GET_STATUS_UNIQUE,
                    OPTION_REQ -> {
                if (client == null) {
                    client = new ClientSession(front, this, answerOrder);
                }
                answerOrder.run(argumentBytes(packet), () -> client.onPacket(packet));
            }
            case ECHO_REQ ->
                answerOrder.run(
                        argumentBytes(packet),
                        () -> write(Type.ECHO_RES, packet.arguments().get(0)));
            case SET_CLIENT_ID -> answerOrder.run(argumentBytes(packet), () -> setClientId(packet.text(0)));
            case ALL_YOURS -> {} // changes nothing: a worker of this one server gets its jobs in the same way
            case CAN_DO,
                    CAN_DO_TIMEOUT,
                    CANT_DO,
                    RESET_ABILITIES,
                    PRE_SLEEP,
                    GRAB_JOB,
                    GRAB_JOB_UNIQ,
                    GRAB_JOB_ALL,
                    WORK_STATUS,
                    WORK_COMPLETE,
                    WORK_FAIL,
                    WORK_EXCEPTION,
                    WORK_DATA,
                    WORK_WARNING -> {
                if (worker == null) {
                    worker = new WorkerSession(front, this);
                }
                worker.onPacket(packet);
            }
            default -> error("malformed", packet.type() + " is not for a server");
        }
    }

    private static int argumentBytes(Packet packet) {
        return packet.arguments().stream().mapToInt(ByteBuffer::remaining).sum();
    }

    private void setClientId(String text) {
        if (text.isEmpty() || text.length() > 256) {
            write(Type.ERROR, "client_id", "a client id of " + text.length() + " characters, not 1 to 256");
        } else {
            clientId = text.replaceAll("\\s", "_");
        }
    }

    @Override
    public void ended() {
        if (closed) {
            return;
        }
        closed = true;
        endAdminAnswer();
        reader.release();
        answerOrder.clear();
        leftover = EMPTY;
        front.removeConnection(this);
        if (client != null) {
            client.onDisconnected();
        }
        if (worker != null) {
            worker.onDisconnected();
        }
    }
}
