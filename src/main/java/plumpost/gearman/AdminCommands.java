package plumpost.gearman;

import java.util.List;
import java.util.function.Consumer;
import plumpost.config.GearmanConfig;
import plumpost.dispatch.OpenJob;
import plumpost.dispatch.OpenJobCounts;
import plumpost.gearman.FunctionTable.Function;
import plumpost.peers.Fleet;

/**
 * The admin commands: takes a line of text and returns the answer. Commands that can do harm are off unless the
 * configuration allows them.
 */
final class AdminCommands {
    private static final String OK = "OK\n";
    private static final String INCOMPLETE_ARGUMENTS =
            "ERR INVALID_ARGUMENTS An+incomplete+set+of+arguments+was+sent+to+this+" + "command\n";

    private final GearmanFront front;
    private final String version;

    AdminCommands(GearmanFront front, String version) {
        this.front = front;
        this.version = version;
    }

    /** Answers a line: at once, or after the fleet has decided if a job planned with the fleet is to be cancelled. */
    void answer(String line, Consumer<String> onAnswer) {
        String[] words = line.split("\\s+");
        boolean cancelsJob = words.length == 3
                && words[0].equalsIgnoreCase("cancel")
                && words[1].equalsIgnoreCase("job")
                && front.config.allowedAdminCommands().contains("cancel");
        if (cancelsJob && front.fleetOrders != null && front.fleetOrders.isCancellable(words[2])) {
            front.fleetOrders.cancel(words[2], reply -> onAnswer.accept(cancellationAnswer(reply)));
        } else if (cancelsJob
                && front.fleetJobs != null
                && front.fleetJobs.fleet().planned(words[2]) != null) {
            front.fleetJobs.fleet().callOff(words[2], reply -> onAnswer.accept(cancellationAnswer(reply)));
        } else {
            onAnswer.accept(answer(line));
        }
    }

    private static String cancellationAnswer(Fleet.Reply reply) {
        return reply.agreed() ? OK : "ERR JOB_NOT_CALLED_OFF " + reply.detail().replace(' ', '+') + "\n";
    }

    private String answer(String line) {
        String[] words = line.split("\\s+");
        String command = words[0].toLowerCase(java.util.Locale.ROOT);
        front.context.counters().count("gearman.admin");
        if (GearmanConfig.RESTRICTED_ADMIN_COMMANDS.contains(command)
                && !front.config.allowedAdminCommands().contains(command)) {
            return "ERR NOT_ALLOWED " + command + "+is+off:+set+gearman.admin." + command + "\n";
        }
        return switch (command) {
            case "status" -> status();
            case "prioritystatus" -> priorityStatus();
            case "workers" -> workers();
            case "show" -> show(words);
            case "cancel" ->
                words.length == 3 && words[1].equalsIgnoreCase("job") ? cancel(words[2]) : INCOMPLETE_ARGUMENTS;
            case "create" ->
                words.length == 3 && words[1].equalsIgnoreCase("function") ? create(words[2]) : INCOMPLETE_ARGUMENTS;
            case "drop" ->
                words.length == 3 && words[1].equalsIgnoreCase("function") ? drop(words[2]) : INCOMPLETE_ARGUMENTS;
            case "maxqueue" -> maxqueue(words);
            case "getpid" -> "OK " + ProcessHandle.current().pid() + "\n";
            case "verbose" -> "OK INFO\n";
            case "version" -> "OK " + version + "\n";
            case "shutdown" -> shutdown(words);
            default -> "ERR UNKNOWN_COMMAND Unknown+server+command\n";
        };
    }

    private String status() {
        StringBuilder text = new StringBuilder();
        for (Function function : front.functions.functions()) {
            OpenJobCounts.Tally tally = front.core.tally(function.kind);
            text.append(function.name)
                    .append('\t')
                    .append(tally.open())
                    .append('\t')
                    .append(tally.running())
                    .append('\t')
                    .append(function.workers)
                    .append('\n');
        }
        return text.append(".\n").toString();
    }

    private String priorityStatus() {
        StringBuilder text = new StringBuilder();
        for (Function function : front.functions.functions()) {
            OpenJobCounts.Tally tally = front.core.tally(function.kind);
            text.append(function.name)
                    .append('\t')
                    .append(tally.waiting(1))
                    .append('\t')
                    .append(tally.waiting(0))
                    .append('\t')
                    .append(tally.waiting(-1))
                    .append('\t')
                    .append(function.workers)
                    .append('\n');
        }
        return text.append(".\n").toString();
    }

    private String workers() {
        StringBuilder text = new StringBuilder();
        front.connections().stream()
                .filter(connection -> connection.worker() != null || connection.clientId() != null)
                .forEach(connection -> text.append(connection.describe()));
        return text.append(".\n").toString();
    }

    private String show(String[] words) {
        if (words.length == 2 && words[1].equalsIgnoreCase("jobs")) {
            StringBuilder text = new StringBuilder();
            front.core.forEachOpenJob(
                    job -> text.append(front.handleOf(job.spec().id()))
                            .append('\t')
                            .append(Math.max(0, job.tries() - 1))
                            .append("\t0\t")
                            .append(job.running() ? 0 : 1)
                            .append('\n'));
            front.schedule
                    .entries()
                    .forEach(job ->
                            text.append(front.handleOf(job.request().id())).append("\t0\t0\t0\n"));
            if (front.fleetJobs != null) {
                front.fleetJobs
                        .plannedHandles()
                        .forEach(handle -> text.append(handle).append("\t0\t0\t0\n"));
            }
            if (front.fleetOrders != null) {
                front.fleetOrders
                        .scheduledHandles()
                        .forEach(handle -> text.append(handle).append("\t0\t0\t0\n"));
            }
            return text.append(".\n").toString();
        }
        if (words.length == 3 && words[1].equalsIgnoreCase("unique") && words[2].equalsIgnoreCase("jobs")) {
            StringBuilder text = new StringBuilder();
            front.core.forEachOpenJob(
                    job -> appendUnique(text, job.spec().work().unique()));
            front.schedule
                    .entries()
                    .forEach(job -> appendUnique(text, job.request().work().unique()));
            return text.append(".\n").toString();
        }
        return "ERR UNKNOWN_SHOW_ARGUMENTS\n";
    }

    private static void appendUnique(StringBuilder text, String key) {
        if (key != null) {
            text.append(key).append('\n');
        }
    }

    /** Cancels a waiting job. A job that a worker has may have run, so it goes on and its clients get its outcome. */
    private String cancel(String handle) {
        String id = front.jobId(handle);
        if (front.schedule.remove(front.schedule.find(id))) {
            return OK;
        }
        OpenJob job = front.core.findJob(id);
        if (job == null) {
            return "ERR UNKNOWN_JOB\n";
        }
        return front.core.cancelIfNotRunning(job) ? OK : "ERR JOB_RUNNING A+worker+has+this+job\n";
    }

    private String create(String name) {
        return front.functions.findOrAdd(name) != null
                ? OK
                : "ERR CREATE_FUNCTION " + name
                        + (front.functions.isFull() ? ":+limits.functions+is+used+up\n" : "+belongs+to+no+class\n");
    }

    private String drop(String name) {
        Function function = front.functions.findExisting(name);
        if (function == null) {
            return "ERR function not found\n";
        }
        boolean inUse = function.workers > 0
                || front.core.tally(function.kind).open() > 0
                || front.schedule.entries().stream()
                        .anyMatch(job -> job.request().work().kind().equals(function.kind));
        return !inUse && front.functions.remove(function)
                ? OK
                : "ERR there are still connected workers or executing clients\n";
    }

    /**
     * Sets a function's limits on waiting jobs: one number for every priority, or one each for high, normal and low.
     * No number, 0 or a negative number means no limit.
     */
    private String maxqueue(String[] words) {
        if (words.length != 2 && words.length != 3 && words.length != 5) {
            return INCOMPLETE_ARGUMENTS;
        }
        int[] limits = new int[3];
        for (int i = 0; i < 3; i++) {
            String limit = words.length == 2 ? "0" : words[words.length == 3 ? 2 : 2 + i];
            if (!limit.matches("-?[0-9]{1,9}")) {
                return INCOMPLETE_ARGUMENTS;
            }
            limits[i] = Math.max(0, Integer.parseInt(limit));
        }
        Function function = front.functions.findOrAdd(words[1]);
        if (function == null) {
            return "ERR function not found\n";
        }
        List.of(0, 1, 2).forEach(i -> function.maxQueued[i] = limits[i]);
        return OK;
    }

    private String shutdown(String[] words) {
        if (words.length > 2 || words.length == 2 && !words[1].equalsIgnoreCase("graceful")) {
            return INCOMPLETE_ARGUMENTS;
        }
        front.shutdown.run();
        return OK;
    }
}
