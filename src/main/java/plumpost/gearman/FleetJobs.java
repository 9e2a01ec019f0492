package plumpost.gearman;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import plumpost.dispatch.JobSpec;
import plumpost.dispatch.OpenJob;
import plumpost.dispatch.ReplyTo;
import plumpost.dispatch.WorkerResult;
import plumpost.gearman.FunctionTable.Function;
import plumpost.peers.Fleet;

/** The scheduled jobs of one front in a fleet: plans them with the fleet, and runs those that the fleet assigns here. */
final class FleetJobs {
    private final GearmanFront front;
    private final Fleet fleet;
    /** The planned jobs in this core, by the id that the fleet knows them by. */
    private final Map<String, OpenJob> running = new HashMap<>();

    private final Map<String, Reply> replies = new HashMap<>();

    FleetJobs(GearmanFront front, Fleet fleet) {
        this.front = front;
        this.fleet = fleet;
    }

    Fleet fleet() {
        return fleet;
    }

    /** Schedules a job with the fleet and passes on the fleet's answer. */
    void plan(JobSpec request, double atMs, java.util.function.Consumer<Fleet.Reply> onAnswer) {
        byte[] body = new byte[request.body().remaining()];
        request.body().duplicate().get(body);
        String unique = request.work().unique();
        fleet.plan(
                new Fleet.Job(
                        front.handleOf(request.id()),
                        request.work().name(),
                        unique == null ? "" : unique,
                        body,
                        atMs,
                        front.mayRunTwice(request)),
                front.fleetAnswerLimitMs(request),
                onAnswer);
    }

    /** The planned job with the same function and unique key, or null. */
    Fleet.Job findByKey(JobSpec request) {
        return request.work().unique() == null
                ? null
                : fleet.planned(request.work().name(), request.work().unique());
    }

    /** Submits a planned job to the core. Returns false if it cannot be accepted now. */
    boolean run(Fleet.Job job) {
        Function function = front.functions.findOrAdd(job.function());
        if (function == null || front.stopping()) {
            return false;
        }
        String unique = job.unique().isEmpty() ? null : job.unique();
        double patienceMs = front.config.backgroundMs();
        JobSpec request = new JobSpec(
                front.newId(),
                front.functions.classNumber(function),
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
                new JobSpec.Work(function.kind, function.name, unique, null, 0, patienceMs));
        if (!front.core.joinsKnownJob(request) && front.core.findRefusal(request) != null) {
            return false;
        }
        Reply reply = new Reply(job.id());
        OpenJob openJob = front.core.submit(request, reply);
        if (openJob != null && !reply.ended) {
            running.put(job.id(), openJob);
            replies.put(job.id(), reply);
        }
        return true;
    }

    /** Cancels a job that no worker has, and returns it to the fleet as never started. */
    void recall(String id) {
        OpenJob openJob = running.get(id);
        if (openJob != null) {
            Reply reply = replies.get(id);
            reply.unstarted = true;
            reply.unstarted = front.core.cancelIfNotRunning(openJob);
        }
    }

    /** Returns all jobs that no worker has to the fleet, since the scheduler stops. */
    void recallAll() {
        new ArrayList<>(running.keySet()).forEach(this::recall);
    }

    /** Handles of the planned jobs that no scheduler was told to run yet, for the admin command {@code show jobs}. */
    List<String> plannedHandles() {
        return fleet.plannedIds();
    }

    /** Takes the outcome of a planned job in place of a client, and reports to the fleet that the job has ended. */
    private final class Reply implements ReplyTo {
        private final String id;
        /** The job is cancelled before a worker had it, so that its end counts as never started. */
        private boolean unstarted;

        private boolean ended;

        Reply(String id) {
            this.id = id;
        }

        private void end(boolean neverRan) {
            ended = true;
            running.remove(id);
            replies.remove(id);
            fleet.onJobEnded(id, neverRan);
        }

        @Override
        public void served(WorkerResult result) {
            end(false);
        }

        @Override
        public void refused(double retryAfterMs) {
            end(true); // a refused job never ran: the fleet runs it elsewhere or later
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
