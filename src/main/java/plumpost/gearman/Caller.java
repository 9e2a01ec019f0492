package plumpost.gearman;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import plumpost.dispatch.JobSheet;
import plumpost.dispatch.LedgerEntry;
import plumpost.dispatch.ReplyTo;
import plumpost.gearman.Packet.Type;
import plumpost.net.Wire;
import plumpost.net.WireUser;

/** One Gearman connection: a client, a worker, an admin, or all of them. */
final class Caller implements WireUser {
    final Wire wire;
    private final GearmanDoor door;
    private final long number;
    private final PacketReader reader = new PacketReader(Packet.REQUEST, true, GearmanDoor.PACKET_LIMIT);
    private final Set<Submission> submissions = new LinkedHashSet<>();
    private WorkerSeat seat;
    private String clientId = "-";
    private boolean exceptions;
    private boolean over;
    private double waitingSince = Double.NaN;
    private final double since;
    private boolean spoke;

    Caller(GearmanDoor door, Wire wire, long number) {
        since = door.kit.clock().nowMs();
        this.door = door;
        this.number = number;
        this.wire = wire;
    }

    void write(Type type, Object... arguments) {
        if (!over) {
            door.kit.counters().count("gearman.out." + type);
            wire.write(Packet.bytes(Packet.RESPONSE, type, arguments));
        }
    }

    /** Since when a packet has been under way in either direction, or infinity. */
    double slowSince() {
        boolean waiting = reader.midway() || !wire.flushed();
        waitingSince = !waiting ? Double.NaN : Double.isNaN(waitingSince) ? door.kit.clock().nowMs() : waitingSince;
        return waiting ? waitingSince : Double.POSITIVE_INFINITY;
    }

    /** How long it has been connected without a byte; 0 once one came. */
    double silentFor(double now) {
        return spoke ? 0 : now - since;
    }

    boolean works() {
        return seat != null;
    }

    boolean does(int cls) {
        return seat != null && seat.does(cls);
    }

    String describe() {
        return number + " " + wire.peer() + ' ' + clientId + " :" + seat.functions() + "\n";
    }

    @Override
    public void bytes(ByteBuffer in) {
        spoke = true;
        try {
            while (!over) {
                Packet p = reader.next(in);
                String line = p == null ? reader.line() : null;
                if (p != null) {
                    waitingSince = Double.NaN;
                    door.kit.counters().count("gearman.in." + p.type());
                    packet(p);
                } else if (line != null) {
                    wire.write(ByteBuffer.wrap(door.admin(line).getBytes(StandardCharsets.UTF_8)));
                } else {
                    return;
                }
            }
        } catch (PacketReader.BadPacket e) {
            error(e.code(), e.getMessage());
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
            case SUBMIT_JOB, SUBMIT_JOB_HIGH, SUBMIT_JOB_LOW -> submit(p, false);
            case SUBMIT_JOB_BG, SUBMIT_JOB_HIGH_BG, SUBMIT_JOB_LOW_BG -> submit(p, true);
            case GET_STATUS -> status(p);
            case GET_STATUS_UNIQUE -> statusUnique(p);
            case OPTION_REQ -> option(p);
            case ECHO_REQ -> write(Type.ECHO_RES, p.parts().get(0));
            case SET_CLIENT_ID -> clientId = p.text(0).replaceAll("\\s", "_");
            case CAN_DO, CAN_DO_TIMEOUT -> canDo(p);
            case SUBMIT_JOB_SCHED, SUBMIT_JOB_EPOCH, SUBMIT_REDUCE_JOB, SUBMIT_REDUCE_JOB_BACKGROUND ->
                write(Type.ERROR, "unsupported", p.type() + " is not offered");
            case ALL_YOURS -> { } // the same for one server and its workers
            case CANT_DO, RESET_ABILITIES, PRE_SLEEP, GRAB_JOB, GRAB_JOB_UNIQ, GRAB_JOB_ALL, WORK_STATUS,
                WORK_COMPLETE, WORK_FAIL, WORK_EXCEPTION, WORK_DATA, WORK_WARNING -> {
                    if (seat == null) {
                        seat = new WorkerSeat(door, this);
                    }
                    seat.packet(p);
                }
            default -> error("malformed", p.type() + " is not for a server");
        }
    }

    private void canDo(Packet p) {
        if (seat == null) {
            seat = new WorkerSeat(door, this);
        }
        int cls = door.cls(p.text(0));
        double limitS = 0;
        if (p.type() == Type.CAN_DO_TIMEOUT) {
            if (!p.text(1).matches("[0-9]{1,9}")) {
                error("malformed", "CAN_DO_TIMEOUT without a number of seconds");
                return;
            }
            limitS = Long.parseLong(p.text(1));
        }
        if (cls < 0) {
            door.kit.counters().count("gearman.unknown_function"); // no job of such a function will ever come
        } else {
            seat.canDo(cls, limitS * 1000);
        }
    }

    private void option(Packet p) {
        if (p.text(0).equals("exceptions")) {
            exceptions = true;
            write(Type.OPTION_RES, "exceptions");
        } else {
            write(Type.ERROR, "unknown_option", p.text(0));
        }
    }

    private void status(Packet p) {
        LedgerEntry e = door.room.entry(door.id(p.text(0)));
        boolean running = e != null && e.running();
        write(Type.STATUS_RES, p.parts().get(0), e == null ? 0 : 1, running ? 1 : 0,
            e == null ? 0 : Math.round(e.share() * 100), e == null ? 0 : 100);
    }

    private void statusUnique(Packet p) {
        LedgerEntry e = door.room.entryOf(p.text(0));
        boolean running = e != null && e.running();
        write(Type.STATUS_RES_UNIQUE, p.parts().get(0), e == null ? 0 : 1, running ? 1 : 0,
            e == null ? 0 : Math.round(e.share() * 100), e == null ? 0 : 100, e == null ? 0 : e.clients());
    }

    private void submit(Packet p, boolean background) {
        int cls = door.cls(p.text(0));
        if (cls < 0) {
            write(Type.ERROR, "unknown_function", p.text(0));
            return;
        }
        if (door.stopping()) {
            write(Type.ERROR, "stopping", "this scheduler takes no more jobs");
            return;
        }
        ByteBuffer data = p.parts().get(2);
        String unique = p.text(1);
        if (unique.equals("-")) {
            unique = digest(data);
        }
        if (unique.length() > 1024) {
            write(Type.ERROR, "unique_too_long", "a unique key of more than 1024 characters");
            return;
        }
        JobSheet sheet = new JobSheet(door.newId(), cls, null, data, door.set.classes().get(cls).deadlineMs(),
            Double.NaN, 1, Double.NaN, 0, null, false, unique.isEmpty() ? null : unique);
        Submission s = new Submission(door.handle(sheet.id()), background);
        submissions.add(s);
        LedgerEntry e = door.room.take(sheet, s);
        if (e != null) {
            s.handle = door.handle(e.sheet().id());
        }
        s.entry = e;
        s.announce();
    }

    /** The key {@code -} stands for the data itself; a digest of it takes less room. */
    private static String digest(ByteBuffer data) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update(data.duplicate());
            return "-" + HexFormat.of().formatHex(sha.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java has it
        }
    }

    @Override
    public void ended() {
        if (over) {
            return;
        }
        over = true;
        door.left(this);
        for (Submission s : List.copyOf(submissions)) {
            if (s.entry != null && !s.background) {
                door.room.gone(s.entry, s);
            }
        }
        if (seat != null) {
            seat.lost();
        }
    }

    /** One job that this client has submitted: its JOB_CREATED, news, and one final packet where it waits for it. */
    private final class Submission implements ReplyTo {
        private final boolean background;
        private final List<Runnable> early = new ArrayList<>(1);
        private String handle;
        private LedgerEntry entry;
        private boolean announced;

        Submission(String handle, boolean background) {
            this.handle = handle;
            this.background = background;
        }

        /** JOB_CREATED comes first, also where the core has answered at once. */
        private void announce() {
            announced = true;
            write(Type.JOB_CREATED, handle);
            early.forEach(Runnable::run);
        }

        private void say(Runnable words) {
            if (background) {
                return;
            }
            if (announced) {
                words.run();
            } else {
                early.add(words);
            }
        }

        private void last(Runnable words) {
            submissions.remove(this);
            say(words);
        }

        @Override
        public void served(ByteBuffer result) {
            last(() -> write(Type.WORK_COMPLETE, handle, result));
        }

        @Override
        public void refused(double retryAfterMs) {
            last(() -> {
                if (exceptions) {
                    write(Type.WORK_EXCEPTION, handle, "refused, try again after " + Math.round(retryAfterMs) + " ms");
                } else {
                    write(Type.WORK_FAIL, handle);
                }
            });
        }

        @Override
        public void failed() {
            last(() -> write(Type.WORK_FAIL, handle));
        }

        @Override
        public void progressed(double share) {
            say(() -> write(Type.WORK_STATUS, handle, Math.round(share * 100), 100));
        }

        @Override
        public void warned(ByteBuffer words) {
            say(() -> write(Type.WORK_WARNING, handle, words));
        }
    }
}
