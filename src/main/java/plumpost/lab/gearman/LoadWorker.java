package plumpost.lab.gearman;

import java.nio.ByteBuffer;
import plumpost.gearman.Packet;
import plumpost.gearman.Packet.Type;
import plumpost.gearman.PacketReader;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;

/** An emulated worker: grabs, works as long as the job's data says, ends it, with the faults that its jobs draw. */
final class LoadWorker implements ConnectionHandler {
    private static final double RETRY_MS = 50;
    private static final double STALL_MS = 1500;
    private static final double SLEEP_MS = 1200;
    private static final double DRAIN_MS = 900;
    /** The rule: nothing new later than this after a drain was told. */
    private static final double DRAIN_LIMIT_MS = 400;

    private final Yard yard;
    private final String name;
    private PacketReader reader;
    private Connection wire;
    private ByteBuffer handle;
    private String lastHandle = "H:none:0";
    private boolean sleepy;
    private boolean live;
    private double drainedAt = Double.NaN;

    LoadWorker(Yard yard, String name) {
        this.yard = yard;
        this.name = name;
    }

    void connect() {
        reader = new PacketReader(Packet.RESPONSE, false, 1 << 26);
        handle = null;
        drainedAt = Double.NaN;
        wire = yard.loop.dial(yard.target, w -> this);
    }

    private void reconnect() {
        if (live) {
            live = false;
            wire.cut();
        }
        yard.later(RETRY_MS * (1 + yard.random.nextDouble()), this::connect);
    }

    private void send(Type type, Object... arguments) {
        if (live) {
            wire.write(Packet.bytes(Packet.REQUEST, type, arguments));
        }
    }

    @Override
    public void opened() {
        live = true;
        send(Type.SET_CLIENT_ID, name);
        send(Type.CAN_DO, yard.plan.plan());
        send(Type.CAN_DO, yard.plan.order());
        send(Type.PRE_SLEEP);
    }

    @Override
    public void bytes(ByteBuffer in) {
        try {
            for (Packet p = reader.next(in); p != null && live; p = reader.next(in)) {
                switch (p.type()) {
                    case NOOP -> wake();
                    case NO_JOB -> send(Type.PRE_SLEEP);
                    case JOB_ASSIGN_UNIQ -> begin(p);
                    case ERROR -> yard.audit.count("worker told " + p.text(0));
                    default -> yard.audit.count("worker got " + p.type());
                }
            }
        } catch (PacketReader.BadPacket e) {
            yard.audit.broken("server sent what is no packet", -1);
        }
    }

    private void wake() {
        if (sleepy) {
            sleepy = false;
            yard.later(SLEEP_MS, () -> send(Type.GRAB_JOB_UNIQ));
        } else {
            send(Type.GRAB_JOB_UNIQ);
        }
    }

    private void begin(Packet p) {
        Work w = Work.of(p.parts().get(3));
        handle = p.parts().get(0);
        boolean first = yard.audit.begun(w);
        if (!w.order() && !Double.isNaN(drainedAt)) {
            double after = yard.clock.nowMs() - drainedAt;
            yard.audit.most("last job ms after CANT_DO", after);
            if (after > DRAIN_LIMIT_MS) {
                yard.audit.broken("a job later than 400 ms after CANT_DO", w.number());
            }
        }
        Fault f = first ? Fault.of(yard.plan.seed(), w.number(), yard.plan.faults()) : Fault.NONE;
        double ms = w.micros() / 1000.0;
        ByteBuffer mine = handle;
        switch (f) {
            case DROP -> {
                String all = Work.result(w.number());
                send(Type.WORK_DATA, mine, all.substring(0, all.length() / 2));
                yard.later(ms / 2, () -> {
                    if (handle == mine) {
                        yard.audit.count("fault DROP");
                        reconnect();
                    }
                });
            }
            case STALL ->
                yard.later(ms + STALL_MS, () -> {
                    if (handle == mine) {
                        yard.audit.count("fault STALL");
                        reconnect();
                    }
                });
            default -> {
                if (ms <= 0) {
                    end(w, f);
                } else {
                    yard.later(ms, () -> {
                        if (handle == mine) {
                            end(w, f);
                        }
                    });
                }
            }
        }
    }

    private void end(Work w, Fault f) {
        ByteBuffer mine = handle;
        handle = null;
        String all = Work.result(w.number());
        if (f != Fault.NONE && f.onWorker()) {
            yard.audit.count("fault " + f);
        }
        if (f == Fault.FAIL) {
            send(Type.WORK_EXCEPTION, mine, "emulated failure");
        } else if (w.micros() == 0) {
            send(Type.WORK_COMPLETE, mine, all);
        } else {
            send(Type.WORK_DATA, mine, all.substring(0, 10));
            send(Type.WORK_COMPLETE, mine, all.substring(10));
        }
        if (f == Fault.TWICE) {
            send(Type.WORK_COMPLETE, mine, "again");
            send(Type.WORK_FAIL, mine);
        } else if (f == Fault.FOREIGN) {
            send(Type.WORK_COMPLETE, lastHandle, "not mine");
            send(Type.WORK_DATA, lastHandle, "not mine");
        } else if (f == Fault.GARBAGE && live) {
            byte[] rubbish = new byte[64];
            yard.random.nextBytes(rubbish);
            rubbish[0] = 1;
            wire.write(ByteBuffer.wrap(rubbish));
            reconnect();
            return;
        }
        if (f == Fault.DRAIN && Double.isNaN(drainedAt)) {
            drainedAt = yard.clock.nowMs();
            send(Type.CANT_DO, yard.plan.plan());
            Connection drained = wire;
            yard.later(DRAIN_MS, () -> {
                if (wire == drained) {
                    drainedAt = Double.NaN;
                    send(Type.CAN_DO, yard.plan.plan());
                }
            });
        }
        sleepy = f == Fault.SLEEP;
        lastHandle = new String(copy(mine), java.nio.charset.StandardCharsets.US_ASCII);
        send(Type.GRAB_JOB_UNIQ);
    }

    private static byte[] copy(ByteBuffer b) {
        byte[] all = new byte[b.remaining()];
        b.duplicate().get(all);
        return all;
    }

    @Override
    public void ended() {
        if (live) {
            yard.audit.count("worker cut off by the server");
        }
        live = false;
        handle = null;
        yard.later(RETRY_MS * (1 + yard.random.nextDouble()), this::connect);
    }
}
