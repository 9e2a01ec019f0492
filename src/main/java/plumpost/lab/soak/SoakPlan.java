package plumpost.lab.soak;

import java.util.Set;

/**
 * The parameters of one soak.
 *
 * @param seed seed of all random draws
 * @param schedulers number of real scheduler processes
 * @param workers number of emulated workers at the start
 * @param seconds how long clients send requests
 * @param requestsPerSecond mean rate of requests for each scheduler
 * @param faultsPerSecond mean rate at which faults begin in the whole fleet; each can last seconds, so that many overlap
 * @param kinds the kinds of faults to inject
 * @param program the class path of the program under test
 */
public record SoakPlan(
        long seed,
        int schedulers,
        int workers,
        int seconds,
        double requestsPerSecond,
        double faultsPerSecond,
        Set<FaultKind> kinds,
        String program) {}
