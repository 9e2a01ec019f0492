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
    private final GearmanFront door;
    private final Fleet fleet;
    private final Map<String, OpenJob> running = new HashMap<>();
    private final Map<String, Reply> replies = new HashMap<>();

    FleetJobs(GearmanFront door, Fleet fleet) {
        this.door = door;
        this.fleet = fleet;
    }

    Fleet fleet() {
        return fleet;
    }

    /** Plans a job with the fleet; then says what its client is told. */
    void plan(JobRequest sheet, double atMs, java.util.function.Consumer<Fleet.Said> then) {
        byte[] body = new byte[sheet.body().remaining()];
        sheet.body().duplicate().get(body);
        String unique = sheet.work().unique();
        boolean again = door.set.classes().get(sheet.cls()).effect() != Dispatcher.Effect.SINGLE_SHOT;
        fleet.plan(
                new Fleet.Job(
                        door.handle(sheet.id()), sheet.work().name(), unique == null ? "" : unique, body, atMs, again),
                then);
    }

    /** The planned job under a function and key, or null. */
    Fleet.Job under(JobRequest sheet) {
        return sheet.work().unique() == null
                ? null
                : fleet.planned(sheet.work().name(), sheet.work().unique());
    }

    /** Hands a job in that is this scheduler's to run now; false where it cannot be taken. */
    boolean run(Fleet.Job job) {
        Function f = door.functions.find(job.function());
        if (f == null || door.stopping() || !door.room.hasRoom(job.body().length)) {
            return false;
        }
        String unique = job.unique().isEmpty() ? null : job.unique();
        double patience = door.config.backgroundMs();
        JobRequest sheet = new JobRequest(
                door.newId(),
                f.cls,
                null,
                ByteBuffer.wrap(job.body()),
                patience,
                Double.NaN,
                1,
                Double.NaN,
                0,
                null,
                false,
                unique == null ? null : ClientSession.key(f, unique),
                new JobRequest.Work(f.kind, f.name, unique, null, 0, patience));
        Reply reply = new Reply(job.id());
        OpenJob e = door.room.take(sheet, reply);
        if (e != null && !reply.over) {
            running.put(job.id(), e);
            replies.put(job.id(), reply);
        }
        return true;
    }

    /** What no worker has is called off; it goes back to the fleet as never seen by anybody. */
    void callBack(String id) {
        OpenJob e = running.get(id);
        if (e != null) {
            Reply reply = replies.get(id);
            reply.unstarted = true;
            reply.unstarted = door.room.callOff(e);
        }
    }

    /** The scheduler ends: all that no worker has goes back. */
    void callBackAll() {
        new ArrayList<>(running.keySet()).forEach(this::callBack);
    }

    /** Handles of what is planned and over at nobody yet, for the admin's list. */
    List<String> handles() {
        return fleet.plannedIds();
    }

    /** Waits for a planned job's answer in place of a client. */
    private final class Reply implements ReplyTo {
        private final String id;
        private boolean unstarted;
        private boolean over;

        Reply(String id) {
            this.id = id;
        }

        private void end(boolean neverRan) {
            over = true;
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
