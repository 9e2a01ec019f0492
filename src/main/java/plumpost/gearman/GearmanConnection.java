package plumpost.gearman;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import plumpost.gearman.Packet.Type;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;

/** One Gearman connection: a client, a worker, an admin, or all of them. Reads packets and hands them to its sides. */
final class GearmanConnection implements ConnectionHandler {
    /** A packet on its way for longer than this, and than its size at a slow link's pace, ends the connection. */
    private static final double SLOW_GRACE_MS = 10_000;

    private static final double MIN_BYTES_PER_MS = 16;

    /** Bytes of a long answer that are written at a time. */
    private static final int ANSWER_CHUNK_BYTES = 64 * 1024;

    final Connection connection;
    private final GearmanFront front;
    private final long number;
    private final PacketReader reader;
    private final double connectedAtMs;
    private ClientSession client;
    private WorkerSession worker;
    private String clientId;
    private boolean closed;
    private boolean reading;
    private double pendingSinceMs = Double.NaN;
    private boolean hasReceivedBytes;
    private ByteBuffer adminAnswer;

    GearmanConnection(GearmanFront front, Connection connection, long number) {
        connectedAtMs = front.context.clock().nowMs();
        this.front = front;
        this.number = number;
        this.connection = connection;
        reader = new PacketReader(Packet.REQUEST, true, front.config.limits().packetBytes(), front.readBudget);
    }

    void write(Type type, Object... arguments) {
        if (!closed) {
            front.context.counters().count(type.outCounter);
            connection.write(Packet.bytes(Packet.RESPONSE, type, arguments));
        }
    }

    /** True when a packet has been under way in either direction for too long. */
    boolean isSlow(double nowMs) {
        boolean pending = reader.inProgress() || !connection.flushed();
        pendingSinceMs = !pending ? Double.NaN : Double.isNaN(pendingSinceMs) ? nowMs : pendingSinceMs;
        return pending && nowMs - pendingSinceMs > SLOW_GRACE_MS + reader.claimedBytes() / MIN_BYTES_PER_MS;
    }

    /** How long it has been connected without a byte; 0 once one came. */
    double silentMs(double nowMs) {
        return hasReceivedBytes ? 0 : nowMs - connectedAtMs;
    }

    WorkerSession worker() {
        return worker;
    }

    /** What the worker calls itself, or null. */
    String clientId() {
        return clientId;
    }

    double connectedAtMs() {
        return connectedAtMs;
    }

    String describe() {
        StringBuilder text =
                new StringBuilder(number + " " + connection.peer() + ' ' + (clientId == null ? "-" : clientId) + " :");
        if (worker != null) {
            worker.functions().forEach(f -> text.append(' ').append(f.name));
        }
        return text.append('\n').toString();
    }

    @Override
    public void bytes(ByteBuffer input) {
        hasReceivedBytes = true;
        reading = true;
        try {
            while (!closed && readNext(input)) {
                pendingSinceMs = Double.NaN;
            }
        } finally {
            reading = false;
        }
    }

    /** Reads what has come from the peer, its end among it, unless that is under way already. */
    void readAvailable() {
        if (!closed && !reading) {
            connection.look();
        }
    }

    /** Takes the next packet or line; false for want of bytes. */
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
                front.adminCommands.answer(line, this::writeAdminAnswer);
            }
            return packet != null || line != null;
        } catch (PacketReader.BadPacket e) {
            if (e.fatal()) {
                error(e.code(), e.getMessage());
            } else {
                front.context.counters().count("gearman.bad." + e.code());
                write(Type.ERROR, e.code(), e.getMessage());
            }
            return true;
        }
    }

    /** Writes an admin's answer; a long one in pieces as the peer reads, so that a full ledger's list is not held twice. */
    private void writeAdminAnswer(String answer) {
        adminAnswer = ByteBuffer.wrap(answer.getBytes(StandardCharsets.UTF_8));
        if (adminAnswer.remaining() > ANSWER_CHUNK_BYTES) {
            if (front.longAnswerConnection != null && front.longAnswerConnection != this) {
                adminAnswer = null;
                connection.write(ByteBuffer.wrap(
                        "ERR BUSY Another+long+list+is+being+read\n".getBytes(StandardCharsets.US_ASCII)));
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
            if (!adminAnswer.hasRemaining()) {
                endAdminAnswer();
            }
            connection.write(chunk);
        }
    }

    private void endAdminAnswer() {
        adminAnswer = null;
        if (front.longAnswerConnection == this) {
            front.longAnswerConnection = null;
        }
    }

    /** Says what is wrong and ends the connection; what hangs on it ends as if the peer had left. */
    void error(String code, String message) {
        front.context.counters().count("gearman.bad." + code);
        write(Type.ERROR, code, message);
        ended();
        connection.finish();
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
                    client = new ClientSession(front, this);
                }
                client.onPacket(packet);
            }
            case ECHO_REQ -> write(Type.ECHO_RES, packet.parts().get(0));
            case SET_CLIENT_ID -> clientId(packet.text(0));
            case ALL_YOURS -> {} // the same for one server and its workers
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

    private void clientId(String text) {
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
        front.removeConnection(this);
        if (client != null) {
            client.onDisconnected();
        }
        if (worker != null) {
            worker.onDisconnected();
        }
    }
}
