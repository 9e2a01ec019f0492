package plumpost.gearman;

import plumpost.dispatch.OpenJob;
import plumpost.gearman.FunctionTable.Function;
import plumpost.peers.Ledger;

/** Finds the status of a job for a client that asks: covered orders, open jobs, and jobs that wait for their start time. */
final class StatusLookup {
    private static final int WHOLE_PERCENT = 100;

    /**
     * The status of a job.
     *
     * @param known whether the job is open
     * @param running whether a worker has it
     * @param done how much of it is done, of {@code total}
     * @param clients the number of clients that wait for it here
     */
    record JobStatus(boolean known, boolean running, long done, long total, int clients) {
        private static final JobStatus UNKNOWN = new JobStatus(false, false, 0, 0, 0);
        private static final JobStatus SCHEDULED = new JobStatus(true, false, 0, 0, 0);
    }

    private final GearmanFront front;

    StatusLookup(GearmanFront front) {
        this.front = front;
    }

    /** Returns the status of the job with this handle. */
    JobStatus byHandle(String handle) {
        Ledger.OrderStatus order = front.fleetOrders == null ? null : front.fleetOrders.find(handle);
        if (order != null) {
            return of(order);
        }
        String id = front.jobId(handle);
        OpenJob openJob = front.core.findJob(id);
        if (openJob != null) {
            return of(openJob);
        }
        if (front.schedule.find(id) != null) {
            return JobStatus.SCHEDULED;
        }
        if (front.fleetJobs != null && front.fleetJobs.fleet().planned(handle) != null) {
            return new JobStatus(true, front.fleetJobs.fleet().fired(handle), 0, 0, 0);
        }
        return JobStatus.UNKNOWN;
    }

    /** Returns the status of the first job of any function under this unique key. */
    JobStatus byUniqueKey(String unique) {
        JobStatus status = JobStatus.UNKNOWN;
        for (Function function : front.functions.functions()) {
            Ledger.OrderStatus order = front.fleetOrders == null ? null : front.fleetOrders.find(function.name, unique);
            if (order != null) {
                return of(order);
            }
            OpenJob openJob = front.core.findJobByUniqueKey(ClientSession.uniqueKey(function, unique));
            if (openJob != null && status.total == 0) {
                status = of(openJob);
            } else if (!status.known && isScheduled(function, unique)) {
                status = JobStatus.SCHEDULED;
            }
        }
        return status;
    }

    private boolean isScheduled(Function function, String unique) {
        return front.schedule.findByUnique(ClientSession.uniqueKey(function, unique)) != null
                || front.fleetJobs != null && front.fleetJobs.fleet().planned(function.name, unique) != null;
    }

    private JobStatus of(Ledger.OrderStatus order) {
        return new JobStatus(
                !order.ended(),
                order.stage() == Ledger.Stage.OUT,
                Math.round(front.fleetOrders.progressOf(order.id()) * WHOLE_PERCENT),
                WHOLE_PERCENT,
                0);
    }

    private static JobStatus of(OpenJob openJob) {
        return new JobStatus(
                true, openJob.running(), Math.round(openJob.share() * WHOLE_PERCENT), WHOLE_PERCENT, openJob.clients());
    }
}
