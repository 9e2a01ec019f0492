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

/** The laboratory's command {@code fleet}: random faults on a fleet of real processes. */
public final class FleetLabMain {
    /** A fleet that has just come together is let alone for so long before it is measured. */
    private static final int SETTLE_S = 20;

    private static final String COVERS = "\"covers\": [\"pickup-order\"], \"awaitMs\": 3000, \"keepMs\": 120000, ";

    private FleetLabMain() {}

    /** Runs it; 0 where no rule was broken, 1 where one was, 2 for bad arguments. */
    public static int run(String[] args, PrintStream out, PrintStream err) throws IOException {
        Options options = new Options();
        options.addOption(null, "processes", true, "processes with a vote, 3 or 5 (5)");
        options.addOption(null, "followers", true, "processes without a vote (0)");
        options.addOption(null, "changes", true, "changes of owner to cause (100)");
        options.addOption(null, "seconds", true, "time after which it ends all the same (3600)");
        options.addOption(null, "seed", true, "for all draws (1)");
        options.addOption(null, "script", true, "file with a schedule of faults, played in place of a drawn one");
        options.addOption(
                null, "kills", true, "faults on any process whose orders are covered, in place of changes of owner");
        options.addOption(null, "rest", true, "measures for so many seconds what it costs at rest, without faults");
        options.addOption(
                null, "like", true, "configuration that the processes' files are made from (deploy/gearman.json)");
        options.addOption(null, "folder", true, "folder for files, data and the history (target/fleet-test)");
        options.addOption(null, "html", true, "file for the result as a page with a plot");
        options.addOption("h", "help", false, "tells this");
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
            int voters = whole(line, "processes", 5, 1, 5);
            if (voters % 2 == 0) {
                throw new ParseException("--processes is " + voters + ", not 1, 3 or 5");
            }
            LinesProvider.begin("lab", false);
            long seed = whole(line, "seed", 1, 0, Integer.MAX_VALUE);
            Path folder = Path.of(line.getOptionValue("folder", "target/fleet-test"))
                    .resolve("seed-" + seed + "-" + System.currentTimeMillis())
                    .toAbsolutePath();
            Path jar = Path.of(FleetLabMain.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .getPath());
            try (FleetLab lab = new FleetLab(new FleetLab.Plan(
                    jar,
                    Path.of(line.getOptionValue("like", "deploy/gearman.json")).toAbsolutePath(),
                    folder,
                    voters,
                    whole(line, "followers", 0, 0, 95),
                    3,
                    line.hasOption("kills") ? COVERS : "",
                    ""))) {
                if (line.hasOption("rest")) {
                    new FleetRest(lab).run(SETTLE_S, whole(line, "rest", 20, 1, 3600), out);
                    return 0;
                }
                if (line.hasOption("kills")) {
                    KillRun kills = new KillRun(lab, seed, out);
                    KillRun.Result k =
                            kills.run(whole(line, "kills", 100, 1, 100_000), whole(line, "seconds", 3600, 1, 86_400));
                    Files.writeString(folder.resolve("schedule.txt"), kills.schedule());
                    write(lab, folder);
                    out.print(k.table());
                    return k.broken().isEmpty() ? 0 : 1;
                }
                FleetRun run = new FleetRun(lab, seed, out);
                FleetRun.Result r = line.hasOption("script")
                        ? run.replay(Script.parse(
                                line.getOptionValue("script"),
                                Files.readString(Path.of(line.getOptionValue("script")))))
                        : run.run(whole(line, "changes", 100, 1, 100_000), whole(line, "seconds", 3600, 1, 86_400));
                Files.writeString(folder.resolve("schedule.txt"), run.schedule());
                write(lab, folder);
                if (line.hasOption("html")) {
                    Files.writeString(Path.of(line.getOptionValue("html")), FleetReport.html(r));
                }
                out.print(FleetReport.table(r));
                return r.broken().isEmpty() ? 0 : 1;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return 1;
            }
        } catch (ParseException | BadInput | Script.BadScript e) {
            err.println("plumpost lab fleet: " + e.getMessage());
            return 2;
        }
    }

    private static void write(FleetLab lab, Path folder) throws IOException {
        StringBuilder seen = new StringBuilder();
        lab.history()
                .all()
                .forEach(s -> seen.append(String.format("%9.0f %s %s %s%n", s.atMs(), s.who(), s.what(), s.words())));
        Files.writeString(folder.resolve("history.txt"), seen);
    }

    private static int whole(CommandLine line, String option, int otherwise, int least, int most)
            throws ParseException {
        String given = line.getOptionValue(option);
        try {
            int v = given == null ? otherwise : Integer.parseInt(given);
            if (v >= least && v <= most) {
                return v;
            }
        } catch (NumberFormatException e) {
            // told below, with what was given
        }
        throw new ParseException("--" + option + " is " + given + ", not from " + least + " to " + most);
    }
}
