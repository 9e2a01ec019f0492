package plumpost.lab.soak;

import java.util.Set;

/**
 * The size of one soak.
 *
 * @param seed of all draws
 * @param schedulers real scheduler processes
 * @param workers emulated workers at the start
 * @param seconds how long clients send
 * @param requestsPerSecond for each scheduler, in the mean
 * @param faultsPerSecond how often a fault begins, anywhere; each lasts seconds, so that many overlap
 * @param kinds the kinds of faults that are played
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
