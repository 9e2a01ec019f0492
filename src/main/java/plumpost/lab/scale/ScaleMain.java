package plumpost.lab.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import plumpost.config.Json.BadInput;

/** The command {@code lab scale}: measures the cost of each role by size, or updates the capacity page. */
public final class ScaleMain {
    private static final int DESCRIPTORS_BESIDE_WORKERS = 2_000;

    private ScaleMain() {}

    /** Runs the command; returns 0 on success, 1 if interrupted, 2 for bad arguments. */
    public static int run(String[] args, PrintStream out, PrintStream err) throws IOException {
        Options options = new Options();
        options.addOption(null, "small", false, "a few seconds with a few workers, to see that it works");
        options.addOption(null, "seed", true, "for all draws (1)");
        options.addOption(null, "json", true, "file for the measurements; the default is target/capacity.json");
        options.addOption(null, "page", true, "writes this page's tables from --json, and measures nothing");
        options.addOption(null, "plot", true, "with --page: file for the plot");
        options.addOption("h", "help", false, "prints these options");
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (line.hasOption("help")) {
                new HelpFormatter().printHelp("plumpost lab scale [options]", options);
                return 0;
            }
            Path json = Path.of(line.getOptionValue("json", "target/capacity.json"));
            if (line.hasOption("page")) {
                writePage(json, Path.of(line.getOptionValue("page")), line.getOptionValue("plot"));
                return 0;
            }
            long seed = seed(line.getOptionValue("seed", "1"));
            ScalePlan plan = line.hasOption("small") ? ScalePlan.small(seed) : ScalePlan.full(seed);
            refuseWhatDoesNotFit(plan);
            measure(plan, json, out);
            return 0;
        } catch (ParseException | BadInput e) {
            err.println("plumpost lab scale: " + e.getMessage());
            return 2;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private static long seed(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new BadInput("--seed is " + text + ", not a whole number");
        }
    }

    /** Writes the file after each play, so that an interrupted run leaves its figures, marked as partial. */
    private static void measure(ScalePlan plan, Path json, PrintStream out) throws IOException, InterruptedException {
        ScaleRun run = new ScaleRun(plan, out);
        run.run(soFar -> {
            try {
                Files.writeString(json, Measurement.json(soFar, true));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        Files.writeString(json, Measurement.json(run.measurements(), false));
        long invalid = run.measurements().stream().filter(each -> !each.valid()).count();
        out.println(run.measurements().size() + " measurements in " + json + ", " + invalid
                + " of them not valid: the laboratory was the limit");
    }

    private static void writePage(Path json, Path page, String plot) throws IOException {
        CapacityPage capacity = new CapacityPage(Measurement.read(Files.readAllBytes(json)));
        Files.writeString(page, capacity.write(Files.readString(page)));
        if (plot != null) {
            capacity.plot(Path.of(plot));
        }
    }

    /** Rejects a plan that needs too many file descriptors: each emulated worker listens on one of this process. */
    static void refuseWhatDoesNotFit(ScalePlan plan) throws IOException {
        int workers = Collections.max(plan.workers());
        long allowed = descriptorsAllowed(Files.readAllLines(Path.of("/proc/self/limits")));
        if (workers + DESCRIPTORS_BESIDE_WORKERS > allowed) {
            throw new BadInput(workers + " workers need " + (workers + DESCRIPTORS_BESIDE_WORKERS)
                    + " descriptors, and this process may open " + allowed);
        }
    }

    /** Returns the soft limit on open files from the lines of /proc/self/limits. */
    static long descriptorsAllowed(List<String> limits) {
        for (String line : limits) {
            if (line.startsWith("Max open files")) {
                String soft = line.substring("Max open files".length()).strip().split("\\s+")[0];
                return soft.equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(soft);
            }
        }
        return Long.MAX_VALUE;
    }
}
