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

/** An emulated client connection with many outstanding jobs; a job's time counts from its scheduled start. */
final class LoadClient implements ConnectionHandler {
    private static final double RETRY_MS = 20;

    /** One submit of a job, its scheduled start and the result data received so far. */
    static final class Submission {
        final int number;
        final double scheduledAt;
        final boolean background;
        final StringBuilder result = new StringBuilder();

        Submission(int number, double scheduledAt, boolean background) {
            this.number = number;
            this.scheduledAt = scheduledAt;
            this.background = background;
        }
    }

    private final LoadThread loadThread;
    private final LoadRun run;
    private final ArrayDeque<Submission> awaitingHandle = new ArrayDeque<>();
    private final Map<String, List<Submission>> byHandle = new HashMap<>();
    private final ArrayDeque<Submission> unsent = new ArrayDeque<>();
    private PacketReader reader;
    private Connection connection;
    private boolean connected;

    LoadClient(LoadThread loadThread, LoadRun run) {
        this.loadThread = loadThread;
        this.run = run;
    }

    void connect() {
        reader = new PacketReader(Packet.RESPONSE, false, 1 << 26);
        connection = loadThread.loop.dial(loadThread.target, w -> this);
    }

    /** Submits a job now, or as soon as the connection is open. */
    void submit(Submission submission) {
        if (!connected) {
            unsent.add(submission);
            return;
        }
        LoadPlan plan = loadThread.plan;
        boolean order = run.isOrder(submission.number);
        Type type = submission.background ? Type.SUBMIT_JOB_BG : Type.SUBMIT_JOB;
        if (!submission.background) {
            loadThread.audit.clientWaits(submission.number);
        }
        awaitingHandle.add(submission);
        connection.write(Packet.encode(
                Packet.REQUEST,
                type,
                order ? plan.order() : plan.plan(),
                order || plan.faults() > 0 ? "k" + plan.seed() + "-" + submission.number : "",
                ByteBuffer.wrap(
                        JobPayload.encode(submission.number, run.serviceMs(submission.number), order, plan.bytes()))));
    }

    /** Closes the connection, after half a packet if {@code half}; outstanding jobs are submitted again under the same keys. */
    void leave(boolean half) {
        if (!connected) {
            return;
        }
        if (half) {
            connection.write(ByteBuffer.wrap(new byte[] {0, 'R', 'E', 'Q', 0, 0, 0, 7, 0, 0, 4}));
        }
        connected = false;
        connection.closeNow();
        resubmitOutstanding();
    }

    private void resubmitOutstanding() {
        List<Submission> outstanding = new ArrayList<>(awaitingHandle);
        byHandle.values().forEach(outstanding::addAll);
        awaitingHandle.clear();
        byHandle.clear();
        for (Submission submission : outstanding) {
            if (!submission.background) {
                loadThread.audit.clientGone(submission.number);
            }
            unsent.add(new Submission(submission.number, submission.scheduledAt, submission.background));
        }
        loadThread.schedule(RETRY_MS, this::connect);
    }

    boolean idle() {
        return awaitingHandle.isEmpty() && byHandle.isEmpty() && unsent.isEmpty();
    }

    @Override
    public void opened() {
        connected = true;
        connection.write(Packet.encode(Packet.REQUEST, Type.OPTION_REQ, "exceptions"));
        for (int remaining = unsent.size(); remaining > 0; remaining--) {
            submit(unsent.poll());
        }
    }

    @Override
    public void received(ByteBuffer in) {
        try {
            for (Packet packet = reader.next(in); packet != null && connected; packet = reader.next(in)) {
                handlePacket(packet);
            }
        } catch (PacketReader.BadPacket e) {
            loadThread.audit.recordBroken("server sent what is no packet", -1);
        }
    }

    private void handlePacket(Packet packet) {
        switch (packet.type()) {
            case JOB_CREATED -> {
                Submission submission = awaitingHandle.poll();
                if (submission == null) {
                    loadThread.audit.recordBroken("JOB_CREATED for nothing", -1);
                } else if (submission.background) {
                    run.submissionEnded(submission, "background", this);
                } else {
                    byHandle.computeIfAbsent(packet.text(0), h -> new ArrayList<>(1))
                            .add(submission);
                }
            }
            case ERROR -> {
                Submission submission = awaitingHandle.poll();
                if (submission != null) {
                    if (!submission.background) {
                        loadThread.audit.finalAnswer(submission.number);
                    }
                    run.submissionEnded(submission, "ERROR " + packet.text(0), this);
                }
            }
            case WORK_DATA -> findByHandle(packet).forEach(submission -> submission.result.append(packet.text(1)));
            case WORK_COMPLETE -> {
                for (Submission submission : takeFinished(packet)) {
                    submission.result.append(packet.text(1));
                    if (!submission.result.toString().equals(JobPayload.result(submission.number))) {
                        loadThread.audit.recordBroken("a result that is mixed or another job's", submission.number);
                    }
                    run.submissionEnded(submission, "WORK_COMPLETE", this);
                }
            }
            case WORK_FAIL ->
                takeFinished(packet).forEach(submission -> run.submissionEnded(submission, "WORK_FAIL", this));
            case WORK_EXCEPTION ->
                takeFinished(packet)
                        .forEach(submission -> run.submissionEnded(
                                submission, packet.text(1).startsWith("refused") ? "refused" : "WORK_EXCEPTION", this));
            case OPTION_RES, WORK_STATUS, WORK_WARNING -> {}
            default -> loadThread.audit.count("client got " + packet.type());
        }
    }

    private List<Submission> findByHandle(Packet packet) {
        return byHandle.getOrDefault(packet.text(0), List.of());
    }

    /** Removes the oldest submit that waits under a handle: each submit that joined the job gets its own final packet. */
    private List<Submission> takeFinished(Packet packet) {
        List<Submission> submissions = byHandle.get(packet.text(0));
        if (submissions == null) {
            loadThread.audit.recordBroken("a final packet for nothing", -1);
            return List.of();
        }
        Submission first = submissions.remove(0);
        if (submissions.isEmpty()) {
            byHandle.remove(packet.text(0));
        }
        loadThread.audit.finalAnswer(first.number);
        return List.of(first);
    }

    @Override
    public void ended() {
        if (connected) {
            loadThread.audit.count("client cut off by the server");
        }
        connected = false;
        resubmitOutstanding();
    }
}
