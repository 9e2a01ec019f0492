package plumpost.lab.gearman;

import java.nio.ByteBuffer;
import plumpost.gearman.Packet;
import plumpost.gearman.Packet.Type;
import plumpost.gearman.PacketReader;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;

/** An emulated worker: grabs jobs, ends each after the time in its data and injects the faults drawn for them. */
final class LoadWorker implements ConnectionHandler {
    private static final double RETRY_MS = 50;
    private static final double STALL_MS = 1500;
    private static final double SLEEP_MS = 1200;
    private static final double DRAIN_MS = 900;
    /** Rule: a worker gets no new job later than this after its CANT_DO. */
    private static final double DRAIN_LIMIT_MS = 400;

    private final LoadThread loadThread;
    private final String name;
    private PacketReader reader;
    private Connection connection;
    private ByteBuffer handle;
    private String lastHandle = "H:none:0";
    private boolean delaysNextWakeUp;
    private boolean connected;
    private double drainedAt = Double.NaN;

    LoadWorker(LoadThread loadThread, String name) {
        this.loadThread = loadThread;
        this.name = name;
    }

    void connect() {
        reader = new PacketReader(Packet.RESPONSE, false, 1 << 26);
        handle = null;
        drainedAt = Double.NaN;
        connection = loadThread.loop.dial(loadThread.target, w -> this);
    }

    private void reconnect() {
        if (connected) {
            connected = false;
            connection.closeNow();
        }
        loadThread.schedule(RETRY_MS * (1 + loadThread.random.nextDouble()), this::connect);
    }

    private void send(Type type, Object... arguments) {
        if (connected) {
            connection.write(Packet.encode(Packet.REQUEST, type, arguments));
        }
    }

    @Override
    public void opened() {
        connected = true;
        send(Type.SET_CLIENT_ID, name);
        send(Type.CAN_DO, loadThread.plan.plan());
        send(Type.CAN_DO, loadThread.plan.order());
        send(Type.PRE_SLEEP);
    }

    @Override
    public void received(ByteBuffer in) {
        try {
            for (Packet packet = reader.next(in); packet != null && connected; packet = reader.next(in)) {
                switch (packet.type()) {
                    case NOOP -> wake();
                    case NO_JOB -> send(Type.PRE_SLEEP);
                    case JOB_ASSIGN_UNIQ -> begin(packet);
                    case ERROR -> loadThread.audit.count("worker told " + packet.text(0));
                    default -> loadThread.audit.count("worker got " + packet.type());
                }
            }
        } catch (PacketReader.BadPacket e) {
            loadThread.audit.recordBroken("server sent what is no packet", -1);
        }
    }

    private void wake() {
        if (delaysNextWakeUp) {
            delaysNextWakeUp = false;
            loadThread.schedule(SLEEP_MS, () -> send(Type.GRAB_JOB_UNIQ));
        } else {
            send(Type.GRAB_JOB_UNIQ);
        }
    }

    private void begin(Packet packet) {
        JobPayload payload = JobPayload.parse(packet.arguments().get(3));
        handle = packet.arguments().get(0);
        boolean first = loadThread.audit.jobBegun(payload);
        if (!payload.order() && !Double.isNaN(drainedAt)) {
            double after = loadThread.clock.nowMs() - drainedAt;
            loadThread.audit.recordMax("last job ms after CANT_DO", after);
            if (after > DRAIN_LIMIT_MS) {
                loadThread.audit.recordBroken("a job later than 400 ms after CANT_DO", payload.number());
            }
        }
        Fault fault =
                first ? Fault.draw(loadThread.plan.seed(), payload.number(), loadThread.plan.faults()) : Fault.NONE;
        double serviceMs = payload.micros() / 1000.0;
        ByteBuffer jobHandle = handle;
        switch (fault) {
            case DROP -> {
                String result = JobPayload.result(payload.number());
                send(Type.WORK_DATA, jobHandle, result.substring(0, result.length() / 2));
                loadThread.schedule(serviceMs / 2, () -> {
                    if (handle == jobHandle) {
                        loadThread.audit.count("fault DROP");
                        reconnect();
                    }
                });
            }
            case STALL ->
                loadThread.schedule(serviceMs + STALL_MS, () -> {
                    if (handle == jobHandle) {
                        loadThread.audit.count("fault STALL");
                        reconnect();
                    }
                });
            default -> {
                if (serviceMs <= 0) {
                    end(payload, fault);
                } else {
                    loadThread.schedule(serviceMs, () -> {
                        if (handle == jobHandle) {
                            end(payload, fault);
                        }
                    });
                }
            }
        }
    }

    private void end(JobPayload payload, Fault fault) {
        ByteBuffer jobHandle = handle;
        handle = null;
        String result = JobPayload.result(payload.number());
        if (fault != Fault.NONE && fault.isWorkerFault()) {
            loadThread.audit.count("fault " + fault);
        }
        if (fault == Fault.FAIL) {
            send(Type.WORK_EXCEPTION, jobHandle, "emulated failure");
        } else if (payload.micros() == 0) {
            send(Type.WORK_COMPLETE, jobHandle, result);
        } else {
            send(Type.WORK_DATA, jobHandle, result.substring(0, 10));
            send(Type.WORK_COMPLETE, jobHandle, result.substring(10));
        }
        if (fault == Fault.TWICE) {
            send(Type.WORK_COMPLETE, jobHandle, "again");
            send(Type.WORK_FAIL, jobHandle);
        } else if (fault == Fault.FOREIGN) {
            send(Type.WORK_COMPLETE, lastHandle, "not mine");
            send(Type.WORK_DATA, lastHandle, "not mine");
        } else if (fault == Fault.GARBAGE && connected) {
            byte[] garbage = new byte[64];
            loadThread.random.nextBytes(garbage);
            garbage[0] = 1;
            connection.write(ByteBuffer.wrap(garbage));
            reconnect();
            return;
        }
        if (fault == Fault.DRAIN && Double.isNaN(drainedAt)) {
            drainedAt = loadThread.clock.nowMs();
            send(Type.CANT_DO, loadThread.plan.plan());
            Connection drained = connection;
            loadThread.schedule(DRAIN_MS, () -> {
                if (connection == drained) {
                    drainedAt = Double.NaN;
                    send(Type.CAN_DO, loadThread.plan.plan());
                }
            });
        }
        delaysNextWakeUp = fault == Fault.SLEEP;
        lastHandle = new String(copy(jobHandle), java.nio.charset.StandardCharsets.US_ASCII);
        send(Type.GRAB_JOB_UNIQ);
    }

    private static byte[] copy(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.duplicate().get(bytes);
        return bytes;
    }

    @Override
    public void ended() {
        if (connected) {
            loadThread.audit.count("worker cut off by the server");
        }
        connected = false;
        handle = null;
        loadThread.schedule(RETRY_MS * (1 + loadThread.random.nextDouble()), this::connect);
    }
}
