package plumpost.lab.fleet;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import plumpost.config.Json.BadInput;
import plumpost.lab.script.Script;
import plumpost.log.LinesProvider;

/** The laboratory's command {@code fleet}: runs random faults on a fleet of real processes. */
public final class FleetLabMain {
    /** Time between the last process joining and the measurement at rest. */
    private static final int SETTLE_S = 20;

    private static final String COVERS = "\"covers\": [\"pickup-order\"], \"awaitMs\": 3000, \"keepMs\": 120000, ";

    private FleetLabMain() {}

    /** Runs the command; returns 0 if no rule was broken, 1 if one was or on interruption, 2 for bad arguments. */
    public static int run(String[] args, PrintStream out, PrintStream err) throws IOException {
        Options options = new Options();
        options.addOption(null, "processes", true, "processes with a vote, 3 or 5 (5)");
        options.addOption(null, "followers", true, "processes without a vote (0)");
        options.addOption(null, "changes", true, "changes of owner to cause (100)");
        options.addOption(null, "seconds", true, "time limit of the run in seconds (3600)");
        options.addOption(null, "seed", true, "seed of the random numbers (1)");
        options.addOption(null, "script", true, "file with a script of faults, played instead of random ones");
        options.addOption(
                null,
                "kills",
                true,
                "inject so many faults on random processes with covered orders, instead of changes of owner");
        options.addOption(null, "rest", true, "measure the cost of an idle fleet for so many seconds, without faults");
        options.addOption(
                null, "like", true, "configuration file to derive those of the processes from (deploy/gearman.json)");
        options.addOption(null, "folder", true, "folder for files, data and the history (target/fleet-test)");
        options.addOption(null, "html", true, "file for the result as a page with a plot");
        options.addOption("h", "help", false, "print this help");
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (line.hasOption("help")) {
                new HelpFormatter().printHelp("plumpost lab fleet [options]", options);
                return 0;
            }
            if (!line.getArgList().isEmpty()) {
                throw new ParseException(
                        "unexpected argument " + line.getArgList().get(0));
            }
            int voters = intOption(line, "processes", 5, 1, 5);
            if (voters % 2 == 0) {
                throw new ParseException("--processes is " + voters + ", not 1, 3 or 5");
            }
            LinesProvider.configure("lab", false);
            long seed = intOption(line, "seed", 1, 0, Integer.MAX_VALUE);
            Path folder = Path.of(line.getOptionValue("folder", "target/fleet-test"))
                    .resolve("seed-" + seed + "-" + System.currentTimeMillis())
                    .toAbsolutePath();
            Path jar = Path.of(FleetLabMain.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .getPath());
            try (FleetLab lab = new FleetLab(new FleetLab.FleetSpec(
                    jar,
                    Path.of(line.getOptionValue("like", "deploy/gearman.json")).toAbsolutePath(),
                    folder,
                    voters,
                    intOption(line, "followers", 0, 0, 95),
                    3,
                    line.hasOption("kills") ? COVERS : "",
                    ""))) {
                if (line.hasOption("rest")) {
                    new IdleCostRun(lab).run(SETTLE_S, intOption(line, "rest", 20, 1, 3600), out);
                    return 0;
                }
                if (line.hasOption("kills")) {
                    OrderFaultRun orderRun = new OrderFaultRun(lab, seed, out);
                    OrderFaultRun.Result orderResult = orderRun.run(
                            intOption(line, "kills", 100, 1, 100_000), intOption(line, "seconds", 3600, 1, 86_400));
                    Files.writeString(folder.resolve("schedule.txt"), orderRun.schedule());
                    writeHistory(lab, folder);
                    out.print(orderResult.table());
                    return orderResult.violations().isEmpty() ? 0 : 1;
                }
                FleetRun run = new FleetRun(lab, seed, out);
                FleetRun.Result result = line.hasOption("script")
                        ? run.replay(Script.parse(
                                line.getOptionValue("script"),
                                Files.readString(Path.of(line.getOptionValue("script")))))
                        : run.run(
                                intOption(line, "changes", 100, 1, 100_000),
                                intOption(line, "seconds", 3600, 1, 86_400));
                Files.writeString(folder.resolve("schedule.txt"), run.schedule());
                writeHistory(lab, folder);
                if (line.hasOption("html")) {
                    Files.writeString(Path.of(line.getOptionValue("html")), FleetReport.html(result));
                }
                out.print(FleetReport.table(result));
                return result.violations().isEmpty() ? 0 : 1;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return 1;
            }
        } catch (ParseException | BadInput | Script.BadScript e) {
            err.println("plumpost lab fleet: " + e.getMessage());
            return 2;
        }
    }

    private static void writeHistory(FleetLab lab, Path folder) throws IOException {
        StringBuilder text = new StringBuilder();
        lab.history()
                .events()
                .forEach(s -> text.append(String.format("%9.0f %s %s %s%n", s.atMs(), s.source(), s.kind(), s.text())));
        Files.writeString(folder.resolve("history.txt"), text);
    }

    private static int intOption(CommandLine line, String option, int defaultValue, int min, int max)
            throws ParseException {
        String given = line.getOptionValue(option);
        try {
            int value = given == null ? defaultValue : Integer.parseInt(given);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below, with the value
        }
        throw new ParseException("--" + option + " is " + given + ", not from " + min + " to " + max);
    }
}
