package plumpost.gearman;

import java.util.List;
import java.util.function.Consumer;
import plumpost.config.GearmanConfig;
import plumpost.dispatch.OpenJob;
import plumpost.dispatch.OpenJobCounts;
import plumpost.gearman.FunctionTable.Function;

/** The admin's text lines: what is asked in a line, and the answer to it. What can harm is off until it is allowed. */
final class AdminLines {
    private static final String OK = "OK\n";
    private static final String ARGUMENTS =
            "ERR INVALID_ARGUMENTS An+incomplete+set+of+arguments+was+sent+to+this+" + "command\n";

    private final GearmanFront door;
    private final String version;

    AdminLines(GearmanFront door, String version) {
        this.door = door;
        this.version = version;
    }

    /** Answers a line, at once but for a call that a fleet has to agree on. */
    void answer(String line, Consumer<String> to) {
        String[] w = line.split("\\s+");
        if (door.fleet != null
                && w.length == 3
                && w[0].equalsIgnoreCase("cancel")
                && w[1].equalsIgnoreCase("job")
                && door.config.allowed().contains("cancel")
                && door.fleet.fleet().planned(w[2]) != null) {
            door.fleet
                    .fleet()
                    .callOff(
                            w[2],
                            said -> to.accept(
                                    said.agreed()
                                            ? OK
                                            : "ERR JOB_NOT_CALLED_OFF "
                                                    + said.words().replace(' ', '+') + "\n"));
        } else {
            to.accept(answer(line));
        }
    }

    private String answer(String line) {
        String[] w = line.split("\\s+");
        String command = w[0].toLowerCase(java.util.Locale.ROOT);
        door.kit.counters().count("gearman.admin");
        if (GearmanConfig.HARMFUL.contains(command) && !door.config.allowed().contains(command)) {
            return "ERR NOT_ALLOWED " + command + "+is+off:+set+gearman.admin." + command + "\n";
        }
        return switch (command) {
            case "status" -> status();
            case "prioritystatus" -> priorities();
            case "workers" -> workers();
            case "show" -> show(w);
            case "cancel" -> w.length == 3 && w[1].equalsIgnoreCase("job") ? cancel(w[2]) : ARGUMENTS;
            case "create" -> w.length == 3 && w[1].equalsIgnoreCase("function") ? create(w[2]) : ARGUMENTS;
            case "drop" -> w.length == 3 && w[1].equalsIgnoreCase("function") ? drop(w[2]) : ARGUMENTS;
            case "maxqueue" -> maxqueue(w);
            case "getpid" -> "OK " + ProcessHandle.current().pid() + "\n";
            case "verbose" -> "OK INFO\n";
            case "version" -> "OK " + version + "\n";
            case "shutdown" -> shutdown(w);
            default -> "ERR UNKNOWN_COMMAND Unknown+server+command\n";
        };
    }

    private String status() {
        StringBuilder all = new StringBuilder();
        for (Function f : door.functions.all()) {
            OpenJobCounts.Tally t = door.room.tally(f.kind);
            all.append(f.name)
                    .append('\t')
                    .append(t.open())
                    .append('\t')
                    .append(t.running())
                    .append('\t')
                    .append(f.workers)
                    .append('\n');
        }
        return all.append(".\n").toString();
    }

    private String priorities() {
        StringBuilder all = new StringBuilder();
        for (Function f : door.functions.all()) {
            OpenJobCounts.Tally t = door.room.tally(f.kind);
            all.append(f.name)
                    .append('\t')
                    .append(t.waiting(1))
                    .append('\t')
                    .append(t.waiting(0))
                    .append('\t')
                    .append(t.waiting(-1))
                    .append('\t')
                    .append(f.workers)
                    .append('\n');
        }
        return all.append(".\n").toString();
    }

    private String workers() {
        StringBuilder all = new StringBuilder();
        door.callers().stream()
                .filter(c -> c.seat() != null || c.clientId() != null)
                .forEach(c -> all.append(c.describe()));
        return all.append(".\n").toString();
    }

    private String show(String[] w) {
        if (w.length == 2 && w[1].equalsIgnoreCase("jobs")) {
            StringBuilder all = new StringBuilder();
            door.room.each(e -> all.append(door.handle(e.sheet().id()))
                    .append('\t')
                    .append(Math.max(0, e.tries() - 1))
                    .append("\t0\t")
                    .append(e.running() ? 0 : 1)
                    .append('\n'));
            door.schedule
                    .all()
                    .forEach(e -> all.append(door.handle(e.sheet().id())).append("\t0\t0\t0\n"));
            if (door.fleet != null) {
                door.fleet.handles().forEach(h -> all.append(h).append("\t0\t0\t0\n"));
            }
            return all.append(".\n").toString();
        }
        if (w.length == 3 && w[1].equalsIgnoreCase("unique") && w[2].equalsIgnoreCase("jobs")) {
            StringBuilder all = new StringBuilder();
            door.room.each(e -> unique(all, e.sheet().work().unique()));
            door.schedule.all().forEach(e -> unique(all, e.sheet().work().unique()));
            return all.append(".\n").toString();
        }
        return "ERR UNKNOWN_SHOW_ARGUMENTS\n";
    }

    private static void unique(StringBuilder all, String key) {
        if (key != null) {
            all.append(key).append('\n');
        }
    }

    /** Calls off a job that waits; one that a worker has may have run, and its clients are owed its outcome. */
    private String cancel(String handle) {
        String id = door.id(handle);
        if (door.schedule.remove(door.schedule.of(id))) {
            return OK;
        }
        OpenJob e = door.room.entry(id);
        if (e == null) {
            return "ERR UNKNOWN_JOB\n";
        }
        return door.room.callOff(e) ? OK : "ERR JOB_RUNNING A+worker+has+this+job\n";
    }

    private String create(String name) {
        return door.functions.find(name) != null
                ? OK
                : "ERR CREATE_FUNCTION " + name
                        + (door.functions.full() ? ":+limits.functions+is+used+up\n" : "+belongs+to+no+class\n");
    }

    private String drop(String name) {
        Function f = door.functions.known(name);
        if (f == null) {
            return "ERR function not found\n";
        }
        boolean used = f.workers > 0
                || door.room.tally(f.kind).open() > 0
                || door.schedule.all().stream().anyMatch(e -> e.sheet().work().kind() == f.kind);
        return !used && door.functions.drop(f) ? OK : "ERR there are still connected workers or executing clients\n";
    }

    /** Without a limit, 0 or a negative number: no limit. One limit is for each priority, three for each its own. */
    private String maxqueue(String[] w) {
        if (w.length != 2 && w.length != 3 && w.length != 5) {
            return ARGUMENTS;
        }
        int[] most = new int[3];
        for (int i = 0; i < 3; i++) {
            String n = w.length == 2 ? "0" : w[w.length == 3 ? 2 : 2 + i];
            if (!n.matches("-?[0-9]{1,9}")) {
                return ARGUMENTS;
            }
            most[i] = Math.max(0, Integer.parseInt(n));
        }
        Function f = door.functions.find(w[1]);
        if (f == null) {
            return "ERR function not found\n";
        }
        List.of(0, 1, 2).forEach(i -> f.most[i] = most[i]);
        return OK;
    }

    private String shutdown(String[] w) {
        if (w.length > 2 || w.length == 2 && !w[1].equalsIgnoreCase("graceful")) {
            return ARGUMENTS;
        }
        door.shutdown.run();
        return OK;
    }
}
