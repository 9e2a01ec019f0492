package plumpost.lab.gearman;

import java.net.InetSocketAddress;

/**
 * What a load run does; equal plans draw equal jobs and faults.
 *
 * @param target where the server listens
 * @param seed for all draws
 * @param clients connections that submit
 * @param workers connections that work
 * @param jobs jobs that are submitted and counted
 * @param warmup jobs before those, which are audited but not in the figures
 * @param ratePerS jobs a second on an open loop, 0 for a closed one
 * @param outstanding jobs that each client has out on a closed loop
 * @param orders share of jobs that must not run twice
 * @param background share of jobs that nobody waits for
 * @param bytes bytes of a job's data beside its name
 * @param service how long work takes
 * @param faults share of jobs on which something goes wrong, 0 for none
 * @param plan function of jobs that may be repeated
 * @param order function of jobs that must not
 * @param patienceS when a job without a final answer is counted as lost, after the last one was submitted
 * @param threads threads on which workers run
 */
public record LoadPlan(
        InetSocketAddress target,
        long seed,
        int clients,
        int workers,
        int jobs,
        int warmup,
        double ratePerS,
        int outstanding,
        double orders,
        double background,
        int bytes,
        ServiceTime service,
        double faults,
        String plan,
        String order,
        double patienceS,
        int threads) {
    /** All jobs, those of the warm-up first. */
    public int all() {
        return warmup + jobs;
    }
}
