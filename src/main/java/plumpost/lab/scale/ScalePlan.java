package plumpost.lab.scale;

import java.util.List;

/**
 * The parameters of a scale run. One size is varied at a time while the others keep their base values.
 *
 * @param workers sizes of the list of workers
 * @param jobsPerSecond job rates at one scheduler
 * @param changesPerSecond rates of changed lines of the list
 * @param moduleWorkers sizes of the list for the module alone
 * @param moduleJobs jobs that the module gets at each size
 * @param plays repetitions of each size
 * @param seconds how long each play of a process is measured
 * @param seed seed of all random draws
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
    /** Number of workers while another size is varied. */
    static final int BASE_WORKERS = 200;
    /** Jobs a second at one scheduler while another size is varied: 2,400 over a hundred schedulers. */
    static final double BASE_JOBS_PER_SECOND = 24;
    /** Number of schedulers in the settings. */
    static final int SCHEDULERS = 100;
    /** Number of zones in the planned fleet. */
    static final int ZONES = 27;
    /** Time that an emulated worker takes for a job. */
    static final double SERVICE_MS = 500;

    /** The run that docs/CAPACITY.md is generated from. */
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

    /** A run of some seconds that checks counts, not times. */
    static ScalePlan small(long seed) {
        return new ScalePlan(List.of(5, 10), List.of(), List.of(20.0), List.of(5, 10), 50, 1, 2, seed);
    }
}
