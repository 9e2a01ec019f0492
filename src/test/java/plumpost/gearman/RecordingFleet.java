package plumpost.gearman;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import plumpost.peers.Fleet;
import plumpost.peers.Ledger;

/** A fleet whose ledger covers all classes, and which records what it is given and answers nothing. */
final class RecordingFleet {
    final List<Ledger.Order> orders = new ArrayList<>();
    final List<Fleet.Job> plannedJobs = new ArrayList<>();
    final List<Double> limitsMs = new ArrayList<>();
    boolean takesStartTimes;
    /** Whether orders are agreed on at once; else nothing is answered. */
    boolean agrees;

    final Ledger ledger = (Ledger) Proxy.newProxyInstance(
            Ledger.class.getClassLoader(), new Class<?>[] {Ledger.class}, (proxy, method, arguments) -> {
                switch (method.getName()) {
                    case "covers" -> {
                        return true;
                    }
                    case "takesStartTimes" -> {
                        return takesStartTimes;
                    }
                    case "take" -> {
                        orders.add((Ledger.Order) arguments[0]);
                        limitsMs.add((Double) arguments[1]);
                        if (agrees) {
                            Consumer<Fleet.Reply> callback = callback(arguments[2]);
                            callback.accept(new Fleet.Reply(Fleet.Result.AGREED, ((Ledger.Order) arguments[0]).id()));
                        }
                        return null;
                    }
                    default -> {
                        return null;
                    }
                }
            });
    final Fleet fleet = (Fleet) Proxy.newProxyInstance(
            Fleet.class.getClassLoader(), new Class<?>[] {Fleet.class}, (proxy, method, arguments) -> {
                switch (method.getName()) {
                    case "ledger" -> {
                        return ledger;
                    }
                    case "plan" -> {
                        plannedJobs.add((Fleet.Job) arguments[0]);
                        return null;
                    }
                    default -> {
                        return null;
                    }
                }
            });

    @SuppressWarnings("unchecked")
    private static Consumer<Fleet.Reply> callback(Object argument) {
        return (Consumer<Fleet.Reply>) argument;
    }
}
