package plumpost.lab.scale;

import java.util.List;

/**
 * What a scale run measures. Sizes are varied one at a time; the others stay at the base.
 *
 * @param workers sizes of the list of workers
 * @param jobsPerSecond rates at one scheduler
 * @param changesPerSecond changed lines of the list in each second
 * @param moduleWorkers sizes of the list for the module alone
 * @param moduleJobs jobs that the module is played with at each size
 * @param plays plays of each size
 * @param seconds how long each play of a process is measured
 * @param seed for all draws
 */
record ScalePlan(
        List<Integer> workers,
        List<Double> jobsPerSecond,
        List<Double> changesPerSecond,
        List<Integer> moduleWorkers,
        int moduleJobs,
        int plays,
        int seconds,
        long seed) {
    /** Workers where another size is varied. */
    static final int BASE_WORKERS = 200;
    /** Jobs a second at one scheduler where another size is varied: 2,400 over a hundred schedulers. */
    static final double BASE_JOBS_PER_SECOND = 24;
    /** Schedulers that the settings speak of. */
    static final int SCHEDULERS = 100;
    /** Zones of the fleet ahead. */
    static final int ZONES = 27;
    /** How long a hollow worker takes for a job. */
    static final double SERVICE_MS = 500;

    /** The run behind docs/CAPACITY.md. */
    static ScalePlan full(long seed) {
        return new ScalePlan(
                List.of(20, 200, 2_000, 6_000, 17_000),
                List.of(24.0, 80.0, 240.0, 500.0),
                List.of(1.0, 10.0, 100.0),
                List.of(20, 200, 2_000, 6_000, 17_000),
                2_000,
                3,
                10,
                seed);
    }

    /** A run of some seconds, judged by what it counts and not by times. */
    static ScalePlan small(long seed) {
        return new ScalePlan(List.of(5, 10), List.of(), List.of(20.0), List.of(5, 10), 50, 1, 2, seed);
    }
}
