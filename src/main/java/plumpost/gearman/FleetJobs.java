package plumpost.gearman;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import plumpost.decision.Dispatcher;
import plumpost.dispatch.JobRequest;
import plumpost.dispatch.OpenJob;
import plumpost.dispatch.ReplyTo;
import plumpost.gearman.FunctionTable.Function;
import plumpost.peers.Fleet;

/** Scheduled jobs of a fleet at one front: planned with the others, and run here where the fleet says so. */
final class FleetJobs {
    private final GearmanFront front;
    private final Fleet fleet;
    private final Map<String, OpenJob> running = new HashMap<>();
    private final Map<String, Reply> replies = new HashMap<>();

    FleetJobs(GearmanFront front, Fleet fleet) {
        this.front = front;
        this.fleet = fleet;
    }

    Fleet fleet() {
        return fleet;
    }

    /** Plans a job with the fleet; then says what its client is told. */
    void plan(JobRequest request, double atMs, java.util.function.Consumer<Fleet.Said> onAnswer) {
        byte[] body = new byte[request.body().remaining()];
        request.body().duplicate().get(body);
        String unique = request.work().unique();
        boolean mayRunTwice = front.settings.classes().get(request.cls()).effect() != Dispatcher.Effect.SINGLE_SHOT;
        fleet.plan(
                new Fleet.Job(
                        front.handleOf(request.id()),
                        request.work().name(),
                        unique == null ? "" : unique,
                        body,
                        atMs,
                        mayRunTwice),
                onAnswer);
    }

    /** The planned job under a function and key, or null. */
    Fleet.Job findByKey(JobRequest request) {
        return request.work().unique() == null
                ? null
                : fleet.planned(request.work().name(), request.work().unique());
    }

    /** Hands a job in that is this scheduler's to run now; false where it cannot be taken. */
    boolean run(Fleet.Job job) {
        Function function = front.functions.findOrAdd(job.function());
        if (function == null || front.stopping() || !front.core.hasRoom(job.body().length)) {
            return false;
        }
        String unique = job.unique().isEmpty() ? null : job.unique();
        double patienceMs = front.config.backgroundMs();
        JobRequest request = new JobRequest(
                front.newId(),
                function.classIndex,
                null,
                ByteBuffer.wrap(job.body()),
                patienceMs,
                Double.NaN,
                1,
                Double.NaN,
                0,
                null,
                false,
                unique == null ? null : ClientSession.uniqueKey(function, unique),
                new JobRequest.Work(function.kind, function.name, unique, null, 0, patienceMs));
        Reply reply = new Reply(job.id());
        OpenJob openJob = front.core.take(request, reply);
        if (openJob != null && !reply.ended) {
            running.put(job.id(), openJob);
            replies.put(job.id(), reply);
        }
        return true;
    }

    /** What no worker has is called off; it goes back to the fleet as never seen by anybody. */
    void recall(String id) {
        OpenJob openJob = running.get(id);
        if (openJob != null) {
            Reply reply = replies.get(id);
            reply.unstarted = true;
            reply.unstarted = front.core.callOff(openJob);
        }
    }

    /** The scheduler ends: all that no worker has goes back. */
    void recallAll() {
        new ArrayList<>(running.keySet()).forEach(this::recall);
    }

    /** Handles of what is planned and over at nobody yet, for the admin's list. */
    List<String> handles() {
        return fleet.plannedIds();
    }

    /** Waits for a planned job's answer in place of a client. */
    private final class Reply implements ReplyTo {
        private final String id;
        private boolean unstarted;
        private boolean ended;

        Reply(String id) {
            this.id = id;
        }

        private void end(boolean neverRan) {
            ended = true;
            running.remove(id);
            replies.remove(id);
            fleet.ended(id, neverRan);
        }

        @Override
        public void served(ByteBuffer result) {
            end(false);
        }

        @Override
        public void refused(double retryAfterMs) {
            end(true); // a refusal says that it never ran: the fleet has it run elsewhere or later
        }

        @Override
        public void failed() {
            end(unstarted);
        }

        @Override
        public boolean waits() {
            return false;
        }
    }
}
