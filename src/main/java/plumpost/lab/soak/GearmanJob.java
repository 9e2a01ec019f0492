package plumpost.lab.soak;

/** What clients and workers observed of one Gearman job. Times are milliseconds of the laboratory's clock, NaN if not reached. */
final class GearmanJob {
    /** Its data and unique key. */
    final String data;

    final GearmanFunction function;
    final boolean background;
    final SchedulerRun schedulerRun;
    final double deadlineMs;
    final double sentAt;
    /** When its client was told that it was taken. */
    double takenAt = Double.NaN;
    /** When its client got its final packet, or an error in place of JOB_CREATED. */
    double answeredAt = Double.NaN;

    double connectionEndedAt = Double.NaN;
    /** Whether its client had a connection and sent it. */
    boolean submitted;

    String handle;
    int runs;

    GearmanJob(
            String data,
            GearmanFunction function,
            boolean background,
            SchedulerRun schedulerRun,
            double deadlineMs,
            double sentAt) {
        this.data = data;
        this.function = function;
        this.background = background;
        this.schedulerRun = schedulerRun;
        this.deadlineMs = deadlineMs;
        this.sentAt = sentAt;
    }

    /** Returns the result that only a worker that ran this job can have made. */
    String result() {
        return function.resultOf(data);
    }

    boolean taken() {
        return !Double.isNaN(takenAt);
    }

    boolean answered() {
        return !Double.isNaN(answeredAt);
    }

    @Override
    public String toString() {
        return "Gearman job " + data + " (" + function.functionName() + (background ? ", background, " : ", ")
                + schedulerRun + ", sent at " + Math.round(sentAt) + ")";
    }
}
