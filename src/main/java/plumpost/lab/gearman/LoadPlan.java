package plumpost.lab.gearman;

import java.net.InetSocketAddress;

/**
 * The parameters of a load run; equal plans draw equal jobs and faults.
 *
 * @param target address of the server
 * @param seed seed of all random draws
 * @param clients number of connections that submit
 * @param workers number of worker connections
 * @param jobs jobs that are submitted and counted
 * @param warmup jobs before those, which are audited but not included in the figures
 * @param ratePerS jobs a second on an open loop, 0 for a closed loop
 * @param outstanding outstanding jobs of each client on a closed loop
 * @param orders fraction of jobs that must run at most once
 * @param background fraction of background jobs
 * @param bytes padding bytes in a job's data
 * @param service distribution of service times
 * @param faults fraction of jobs with an injected fault
 * @param plan function of jobs that may be repeated
 * @param order function of jobs that must run at most once
 * @param patienceS seconds after the last submit when a job without a final answer counts as lost
 * @param threads number of threads for workers
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
    /** Returns the number of all jobs, including the warm-up. */
    public int totalJobs() {
        return warmup + jobs;
    }
}
