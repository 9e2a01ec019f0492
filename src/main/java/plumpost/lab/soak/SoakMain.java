package plumpost.lab.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The command {@code lab soak}: runs fault soaks with consecutive seeds. */
public final class SoakMain {
    private static final String USAGE = "plumpost lab soak [options]";
    private static final int MAX_SCHEDULERS = 40;

    private SoakMain() {}

    /** Runs the requested soaks and reports on {@code out}; returns 1 if any rule was broken, 2 for bad arguments. */
    public static int run(String[] args, PrintStream out, PrintStream err) throws IOException {
        Options options = new Options();
        options.addOption(null, "seed", true, "first seed (1)");
        options.addOption(null, "seeds", true, "how many seeds, one after another (1)");
        options.addOption(null, "processes", true, "schedulers, 1 to 40 (10)");
        options.addOption(null, "workers", true, "workers at the start (20)");
        options.addOption(null, "seconds", true, "how long clients send (30)");
        options.addOption(null, "rate", true, "requests a second for each scheduler (15)");
        options.addOption(null, "faults", true, "faults that begin in a second (2)");
        options.addOption(null, "program", true, "jar of the release under test (this one)");
        options.addOption(null, "kinds", true, "kinds of faults, with commas between (all)");
        options.addOption("h", "help", false, "prints these options");
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (line.hasOption("help")) {
                new HelpFormatter().printHelp(USAGE, options);
                return 0;
            }
            long first = number(line, "seed", 1, 0, Integer.MAX_VALUE);
            List<Long> broken = new ArrayList<>();
            long seeds = number(line, "seeds", 1, 1, 100_000);
            for (long seed = first; seed < first + seeds; seed++) {
                SoakPlan plan = new SoakPlan(
                        seed,
                        (int) number(line, "processes", 10, 1, MAX_SCHEDULERS),
                        (int) number(line, "workers", 20, 2, 500),
                        (int) number(line, "seconds", 30, 5, 86_400),
                        number(line, "rate", 15, 1, 1_000),
                        number(line, "faults", 2, 0, 1_000),
                        kinds(line),
                        line.getOptionValue("program", System.getProperty("java.class.path")));
                try (SoakRun run = new SoakRun(plan, out)) {
                    if (!run.run().isEmpty()) {
                        broken.add(seed);
                    }
                }
            }
            out.println(seeds + " seeds, rules broken with " + (broken.isEmpty() ? "none" : broken.toString()));
            return broken.isEmpty() ? 0 : 1;
        } catch (ParseException e) {
            err.println("plumpost lab soak: " + e.getMessage());
            return 2;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private static Set<FaultKind> kinds(CommandLine line) throws ParseException {
        Set<FaultKind> allKinds = EnumSet.allOf(FaultKind.class);
        String given = line.getOptionValue("kinds");
        if (given == null) {
            return allKinds;
        }
        Set<FaultKind> kinds = EnumSet.noneOf(FaultKind.class);
        for (String name : given.split(",")) {
            kinds.add(allKinds.stream()
                    .filter(kind -> kind.name().equalsIgnoreCase(name.replace('-', '_')))
                    .findFirst()
                    .orElseThrow(() -> new ParseException("--kinds names " + name + ", not one of " + allKinds)));
        }
        return kinds;
    }

    private static long number(CommandLine line, String option, long defaultValue, long min, long max)
            throws ParseException {
        String given = line.getOptionValue(option, Long.toString(defaultValue));
        if (!given.matches("[0-9]{1,9}") || Long.parseLong(given) < min || Long.parseLong(given) > max) {
            throw new ParseException("--" + option + " is " + given + ", not from " + min + " to " + max);
        }
        return Long.parseLong(given);
    }
}
