package plumpost.lab.gearman;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import plumpost.gearman.Packet;
import plumpost.gearman.Packet.Type;
import plumpost.gearman.PacketReader;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;

/** An emulated client connection with many jobs out at once; each job's time counts from when it was meant to start. */
final class LoadClient implements ConnectionHandler {
    private static final double RETRY_MS = 20;

    /** One submit: a job's number, when it was meant to start, and what has come for it. */
    static final class Out {
        final int number;
        final double meantAt;
        final boolean background;
        final StringBuilder got = new StringBuilder();

        Out(int number, double meantAt, boolean background) {
            this.number = number;
            this.meantAt = meantAt;
            this.background = background;
        }
    }

    private final Yard yard;
    private final LoadRun run;
    private final ArrayDeque<Out> unnamed = new ArrayDeque<>();
    private final Map<String, List<Out>> byHandle = new HashMap<>();
    private final ArrayDeque<Out> before = new ArrayDeque<>();
    private PacketReader reader;
    private Connection wire;
    private boolean live;

    LoadClient(Yard yard, LoadRun run) {
        this.yard = yard;
        this.run = run;
    }

    void connect() {
        reader = new PacketReader(Packet.RESPONSE, false, 1 << 26);
        wire = yard.loop.dial(yard.target, w -> this);
    }

    /** Submits a job, now or as soon as it is connected. */
    void submit(Out out) {
        if (!live) {
            before.add(out);
            return;
        }
        LoadPlan plan = yard.plan;
        boolean order = run.isOrder(out.number);
        Type type = out.background ? Type.SUBMIT_JOB_BG : Type.SUBMIT_JOB;
        if (!out.background) {
            yard.audit.waits(out.number);
        }
        unnamed.add(out);
        wire.write(Packet.bytes(
                Packet.REQUEST,
                type,
                order ? plan.order() : plan.plan(),
                order || plan.faults() > 0 ? "k" + plan.seed() + "-" + out.number : "",
                ByteBuffer.wrap(Work.bytes(out.number, run.serviceMs(out.number), order, plan.bytes()))));
    }

    /** Ends the connection; what was out comes again under the same keys. */
    void leave(boolean half) {
        if (!live) {
            return;
        }
        if (half) {
            wire.write(ByteBuffer.wrap(new byte[] {0, 'R', 'E', 'Q', 0, 0, 0, 7, 0, 0, 4}));
        }
        live = false;
        wire.cut();
        again();
    }

    private void again() {
        List<Out> out = new ArrayList<>(unnamed);
        byHandle.values().forEach(out::addAll);
        unnamed.clear();
        byHandle.clear();
        for (Out o : out) {
            if (!o.background) {
                yard.audit.gone(o.number);
            }
            before.add(new Out(o.number, o.meantAt, o.background));
        }
        yard.later(RETRY_MS, this::connect);
    }

    boolean idle() {
        return unnamed.isEmpty() && byHandle.isEmpty() && before.isEmpty();
    }

    @Override
    public void opened() {
        live = true;
        wire.write(Packet.bytes(Packet.REQUEST, Type.OPTION_REQ, "exceptions"));
        for (int n = before.size(); n > 0; n--) {
            submit(before.poll());
        }
    }

    @Override
    public void bytes(ByteBuffer in) {
        try {
            for (Packet p = reader.next(in); p != null && live; p = reader.next(in)) {
                packet(p);
            }
        } catch (PacketReader.BadPacket e) {
            yard.audit.broken("server sent what is no packet", -1);
        }
    }

    private void packet(Packet p) {
        switch (p.type()) {
            case JOB_CREATED -> {
                Out o = unnamed.poll();
                if (o == null) {
                    yard.audit.broken("JOB_CREATED for nothing", -1);
                } else if (o.background) {
                    run.ended(o, "background", this);
                } else {
                    byHandle.computeIfAbsent(p.text(0), h -> new ArrayList<>(1)).add(o);
                }
            }
            case ERROR -> {
                Out o = unnamed.poll();
                if (o != null) {
                    if (!o.background) {
                        yard.audit.finalAnswer(o.number);
                    }
                    run.ended(o, "ERROR " + p.text(0), this);
                }
            }
            case WORK_DATA -> outs(p).forEach(o -> o.got.append(p.text(1)));
            case WORK_COMPLETE -> {
                for (Out o : last(p)) {
                    o.got.append(p.text(1));
                    if (!o.got.toString().equals(Work.result(o.number))) {
                        yard.audit.broken("a result that is mixed or another job's", o.number);
                    }
                    run.ended(o, "WORK_COMPLETE", this);
                }
            }
            case WORK_FAIL -> last(p).forEach(o -> run.ended(o, "WORK_FAIL", this));
            case WORK_EXCEPTION ->
                last(p).forEach(o ->
                        run.ended(o, p.text(1).startsWith("refused") ? "refused" : "WORK_EXCEPTION", this));
            case OPTION_RES, WORK_STATUS, WORK_WARNING -> {}
            default -> yard.audit.count("client got " + p.type());
        }
    }

    private List<Out> outs(Packet p) {
        return byHandle.getOrDefault(p.text(0), List.of());
    }

    /** Those who wait under a handle: each submit of this connection that joined the job gets its own final packet. */
    private List<Out> last(Packet p) {
        List<Out> all = byHandle.get(p.text(0));
        if (all == null) {
            yard.audit.broken("a final packet for nothing", -1);
            return List.of();
        }
        Out first = all.remove(0);
        if (all.isEmpty()) {
            byHandle.remove(p.text(0));
        }
        yard.audit.finalAnswer(first.number);
        return List.of(first);
    }

    @Override
    public void ended() {
        if (live) {
            yard.audit.count("client cut off by the server");
        }
        live = false;
        again();
    }
}
