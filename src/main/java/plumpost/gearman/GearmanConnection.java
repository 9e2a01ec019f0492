package plumpost.gearman;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import plumpost.gearman.Packet.Type;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;

/** One Gearman connection: a client, a worker, an admin, or all of them. Reads packets and hands them to its sides. */
final class GearmanConnection implements ConnectionHandler {
    /** A packet on its way for longer than this, and than its size at a slow link's pace, ends the connection. */
    private static final double SLOW_MS = 10_000;

    private static final double SLOW_BYTES_A_MS = 16;

    /** Bytes of a long answer that are written at a time. */
    private static final int PIECE = 64 * 1024;

    final Connection wire;
    private final GearmanFront door;
    private final long number;
    private final PacketReader reader;
    private final double since;
    private ClientSession client;
    private WorkerSession seat;
    private String clientId;
    private boolean over;
    private boolean reading;
    private double waitingSince = Double.NaN;
    private boolean spoke;
    private ByteBuffer listing;

    GearmanConnection(GearmanFront door, Connection wire, long number) {
        since = door.kit.clock().nowMs();
        this.door = door;
        this.number = number;
        this.wire = wire;
        reader = new PacketReader(Packet.REQUEST, true, door.config.limits().packetBytes(), door.reading);
    }

    void write(Type type, Object... arguments) {
        if (!over) {
            door.kit.counters().count(type.outCounter);
            wire.write(Packet.bytes(Packet.RESPONSE, type, arguments));
        }
    }

    /** True when a packet has been under way in either direction for too long. */
    boolean slow(double now) {
        boolean waiting = reader.midway() || !wire.flushed();
        waitingSince = !waiting ? Double.NaN : Double.isNaN(waitingSince) ? now : waitingSince;
        return waiting && now - waitingSince > SLOW_MS + reader.claimed() / SLOW_BYTES_A_MS;
    }

    /** How long it has been connected without a byte; 0 once one came. */
    double silentFor(double now) {
        return spoke ? 0 : now - since;
    }

    WorkerSession seat() {
        return seat;
    }

    /** What the worker calls itself, or null. */
    String clientId() {
        return clientId;
    }

    double since() {
        return since;
    }

    String describe() {
        StringBuilder all =
                new StringBuilder(number + " " + wire.peer() + ' ' + (clientId == null ? "-" : clientId) + " :");
        if (seat != null) {
            seat.functions().forEach(f -> all.append(' ').append(f.name));
        }
        return all.append('\n').toString();
    }

    @Override
    public void bytes(ByteBuffer in) {
        spoke = true;
        reading = true;
        try {
            while (!over && step(in)) {
                waitingSince = Double.NaN;
            }
        } finally {
            reading = false;
        }
    }

    /** Reads what has come from the peer, its end among it, unless that is under way already. */
    void look() {
        if (!over && !reading) {
            wire.look();
        }
    }

    /** Takes the next packet or line; false for want of bytes. */
    private boolean step(ByteBuffer in) {
        try {
            Packet p = reader.next(in);
            String line = p == null ? reader.line() : null;
            if (listing != null && (p != null || line != null)) {
                error("impatient", "the list that was asked for is not read yet");
            } else if (p != null) {
                door.kit.counters().count(p.type().inCounter);
                packet(p);
            } else if (line != null) {
                door.admin.answer(line, this::list);
            }
            return p != null || line != null;
        } catch (PacketReader.BadPacket e) {
            if (e.fatal()) {
                error(e.code(), e.getMessage());
            } else {
                door.kit.counters().count("gearman.bad." + e.code());
                write(Type.ERROR, e.code(), e.getMessage());
            }
            return true;
        }
    }

    /** Writes an admin's answer; a long one in pieces as the peer reads, so that a full ledger's list is not held twice. */
    private void list(String answer) {
        listing = ByteBuffer.wrap(answer.getBytes(StandardCharsets.UTF_8));
        if (listing.remaining() > PIECE) {
            if (door.lister != null && door.lister != this) {
                listing = null;
                wire.write(ByteBuffer.wrap(
                        "ERR BUSY Another+long+list+is+being+read\n".getBytes(StandardCharsets.US_ASCII)));
                return;
            }
            door.lister = this;
        }
        flushed();
    }

    @Override
    public void flushed() {
        if (listing != null && !over) {
            int n = Math.min(PIECE, listing.remaining());
            ByteBuffer piece = listing.slice(listing.position(), n);
            listing.position(listing.position() + n);
            if (!listing.hasRemaining()) {
                listed();
            }
            wire.write(piece);
        }
    }

    private void listed() {
        listing = null;
        if (door.lister == this) {
            door.lister = null;
        }
    }

    /** Says what is wrong and ends the connection; what hangs on it ends as if the peer had left. */
    void error(String code, String words) {
        door.kit.counters().count("gearman.bad." + code);
        write(Type.ERROR, code, words);
        ended();
        wire.finish();
    }

    private void packet(Packet p) {
        switch (p.type()) {
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
                    client = new ClientSession(door, this);
                }
                client.packet(p);
            }
            case ECHO_REQ -> write(Type.ECHO_RES, p.parts().get(0));
            case SET_CLIENT_ID -> clientId(p.text(0));
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
                if (seat == null) {
                    seat = new WorkerSession(door, this);
                }
                seat.packet(p);
            }
            default -> error("malformed", p.type() + " is not for a server");
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
        if (over) {
            return;
        }
        over = true;
        listed();
        reader.end();
        door.left(this);
        if (client != null) {
            client.left();
        }
        if (seat != null) {
            seat.lost();
        }
    }
}
