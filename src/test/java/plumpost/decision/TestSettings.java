package plumpost.decision;

import java.util.ArrayList;
import java.util.List;

/** Makes settings, workers and jobs for tests of the module. */
final class TestSettings {
    int balancers = 1;
    int index;
    int zone;
    int zones = 2;
    int kinds = 2;
    double crossZone = 0.01;
    int maxAttempts = 3;
    boolean parallel;
    boolean onRequest;
    boolean tellsStart = true;
    boolean peers;
    Dispatcher.Reports reports = Dispatcher.Reports.SILENT;
    List<Dispatcher.JobClass> classes = new ArrayList<>(List.of(
            cls("free", Dispatcher.Effect.FREE, Dispatcher.Scope.ALL),
            cls("single", Dispatcher.Effect.SINGLE_SHOT, Dispatcher.Scope.ALL),
            cls("zoned", Dispatcher.Effect.GUARDED, Dispatcher.Scope.ZONE),
            cls("celled", Dispatcher.Effect.GUARDED, Dispatcher.Scope.CELL),
            cls("guarded", Dispatcher.Effect.GUARDED, Dispatcher.Scope.ALL)));

    static Dispatcher.JobClass cls(String name, Dispatcher.Effect effect, Dispatcher.Scope scope) {
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
                new Dispatcher.Limits(maxAttempts, parallel, true, true, peers, true, 2000, 250, 15_000),
                new Dispatcher.Rules(0.2, 10_000, 2000, 3, 8, 10_000, 500),
                new Dispatcher.Fees(crossZone, 0, 0.002, 0.01, 0.05, 0.05),
                reports,
                true,
                onRequest,
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

    static Dispatcher.WorkerEntry worker(String id, int zone, int cell, double cameUp) {
        return new Dispatcher.WorkerEntry(id, zone, 0, cell, Dispatcher.Phase.SERVING, 1, cameUp);
    }

    static Dispatcher.Job job(String id, int cls, double cost) {
        return new Dispatcher.Job(id, cls, 0, null, 5000, cost, 1, Double.NaN, false);
    }

    static Dispatcher.Outcome outcome(String job, int attempt, String worker, Dispatcher.Ending ending) {
        return new Dispatcher.Outcome(job, attempt, worker, ending, 1, ending == Dispatcher.Ending.OK, null);
    }
}
