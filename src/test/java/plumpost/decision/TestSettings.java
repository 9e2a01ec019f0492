package plumpost.decision;

import java.util.ArrayList;
import java.util.List;

/** Builds settings, workers, jobs and outcomes for tests of the decisions. */
final class TestSettings {
    int balancers = 1;
    int index;
    int zone;
    int zones = 2;
    int kinds = 2;
    double crossZone = 0.01;
    int maxAttempts = 3;
    boolean parallelAttempts;
    boolean listOnRequest;
    boolean tellsStart = true;
    boolean peers;
    Dispatcher.Reports reports = Dispatcher.Reports.SILENT;
    List<Dispatcher.JobClass> classes = new ArrayList<>(List.of(
            jobClass("free", Dispatcher.Effect.FREE, Dispatcher.Scope.ALL),
            jobClass("single", Dispatcher.Effect.SINGLE_SHOT, Dispatcher.Scope.ALL),
            jobClass("zoned", Dispatcher.Effect.GUARDED, Dispatcher.Scope.ZONE),
            jobClass("celled", Dispatcher.Effect.GUARDED, Dispatcher.Scope.CELL),
            jobClass("guarded", Dispatcher.Effect.GUARDED, Dispatcher.Scope.ALL)));

    static Dispatcher.JobClass jobClass(String name, Dispatcher.Effect effect, Dispatcher.Scope scope) {
        return new Dispatcher.JobClass(name, 400, 2, 5000, effect, scope, 2000, 1, 0, -1, 0);
    }

    Dispatcher.Settings settings() {
        return new Dispatcher.Settings(
                balancers,
                index,
                zone,
                zones,
                kinds,
                classes,
                List.of(),
                new Dispatcher.Limits(maxAttempts, parallelAttempts, true, true, peers, true, 2000, 250, 15_000),
                new Dispatcher.Rules(0.2, 10_000, 2000, 3, 8, 10_000, 500),
                new Dispatcher.Fees(crossZone, 0, 0.002, 0.01, 0.05, 0.05),
                reports,
                true,
                listOnRequest,
                tellsStart,
                0,
                true,
                1,
                2,
                4);
    }

    static Dispatcher.WorkerEntry worker(String id, Dispatcher.Phase phase) {
        return new Dispatcher.WorkerEntry(id, 0, 0, 0, phase, 1, 0);
    }

    static Dispatcher.WorkerEntry worker(String id, int zone, int cell, double cameUpMs) {
        return new Dispatcher.WorkerEntry(id, zone, 0, cell, Dispatcher.Phase.SERVING, 1, cameUpMs);
    }

    static Dispatcher.Job job(String id, int classIndex, double costMs) {
        return new Dispatcher.Job(id, classIndex, 0, null, 5000, costMs, 1, Double.NaN, false);
    }

    static Dispatcher.Outcome outcome(String job, int attempt, String worker, Dispatcher.Ending ending) {
        return new Dispatcher.Outcome(job, attempt, worker, ending, 1, ending == Dispatcher.Ending.OK, null);
    }
}
