package plumpost.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import plumpost.config.Json.BadInput;
import plumpost.config.NodeListReader;
import plumpost.lab.fleet.FleetLabMain;
import plumpost.lab.gearman.LoadPage;
import plumpost.lab.gearman.LoadPlan;
import plumpost.lab.gearman.LoadResult;
import plumpost.lab.gearman.LoadRun;
import plumpost.lab.gearman.ServiceTime;
import plumpost.lab.scale.ScaleMain;
import plumpost.lab.script.Conformance;
import plumpost.lab.script.Script;
import plumpost.lab.script.TcpRig;
import plumpost.lab.soak.SoakMain;

/** The laboratory's commands: {@code conformance}, {@code gearman}, {@code fleet}, {@code scale} and {@code soak}. Targets are loopback addresses only. */
public final class LabMain {
    private static final String USAGE = "plumpost lab conformance|gearman|fleet|scale|soak [options]";

    private LabMain() {}

    /** Runs a command of the laboratory; returns 0 on success, 1 if a check failed, 2 for bad arguments. */
    public static int run(String[] args, PrintStream out, PrintStream err) throws IOException {
        if (args.length > 0 && args[0].equals("fleet")) {
            return FleetLabMain.run(Arrays.copyOfRange(args, 1, args.length), out, err);
        }
        if (args.length > 0 && args[0].equals("soak")) {
            return SoakMain.run(Arrays.copyOfRange(args, 1, args.length), out, err);
        }
        if (args.length > 0 && args[0].equals("scale")) {
            return ScaleMain.run(Arrays.copyOfRange(args, 1, args.length), out, err);
        }
        Options options = new Options();
        options.addOption("t", "target", true, "the server's address, 127.0.0.1:4730 where it is not given");
        options.addOption(null, "on", true, "conformance: the server's set-up, usual, open or tight (usual)");
        options.addOption(null, "only", true, "conformance: cases whose title holds this");
        options.addOption(
                null,
                "patience",
                true,
                "conformance: ms to wait for what is expected (3000); "
                        + "gearman: s to wait for the last answers (30)");
        options.addOption(null, "seed", true, "for all draws (1)");
        options.addOption(null, "clients", true, "connections that submit (16)");
        options.addOption(null, "workers", true, "connections that work (64)");
        options.addOption(null, "jobs", true, "jobs to submit (10000)");
        options.addOption(null, "warmup", true, "jobs before those that are counted (0)");
        options.addOption(null, "rate", true, "jobs a second on an open loop; 0, the default, for a closed one");
        options.addOption(null, "outstanding", true, "jobs that a client has out on a closed loop (8)");
        options.addOption(null, "orders", true, "share of jobs that must not run twice (0)");
        options.addOption(null, "background", true, "share of jobs that nobody waits for (0)");
        options.addOption(null, "bytes", true, "bytes of data in a job (16)");
        options.addOption(null, "service", true, "none, const:MS, exp:MEAN or lognormal:MEDIAN,SIGMA (none)");
        options.addOption(null, "faults", true, "share of jobs on which something goes wrong (0)");
        options.addOption(null, "plan", true, "function of jobs that may be repeated (route-plan)");
        options.addOption(null, "order", true, "function of jobs that must not (pickup-order)");
        options.addOption(null, "threads", true, "threads for workers (2)");
        options.addOption(null, "pid", true, "the server's process, to measure what it uses");
        options.addOption(null, "json", true, "file for the result as JSON; - for standard output");
        options.addOption(null, "html", true, "file for the result as a page with plots");
        try {
            CommandLine line = new DefaultParser()
                    .parse(options, args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length));
            if (!line.getArgList().isEmpty()) {
                throw new ParseException(
                        "unexpected argument " + line.getArgList().get(0));
            }
            InetSocketAddress target =
                    NodeListReader.parseAddress("--target", line.getOptionValue("target", "127.0.0.1:4730"));
            if (target.getAddress() == null || !target.getAddress().isLoopbackAddress()) {
                throw new ParseException("--target " + target + " is not a loopback address");
            }
            return switch (args.length == 0 ? "" : args[0]) {
                case "conformance" -> conformance(line, target, out);
                case "gearman" -> gearman(line, target, out);
                case "help" -> {
                    new HelpFormatter().printHelp(USAGE, options);
                    yield 0;
                }
                default -> throw new ParseException("usage: " + USAGE);
            };
        } catch (ParseException | BadInput e) {
            err.println("plumpost lab: " + e.getMessage());
            return 2;
        }
    }

    private static double number(CommandLine line, String option, double defaultValue, double min, double max)
            throws ParseException {
        String given = line.getOptionValue(option);
        try {
            double value = given == null ? defaultValue : Double.parseDouble(given);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below with the given text
        }
        throw new ParseException("--" + option + " is " + given + ", not from " + min + " to " + max);
    }

    private static int conformance(CommandLine line, InetSocketAddress target, PrintStream out) throws ParseException {
        String setup = line.getOptionValue("on", "usual");
        if (!List.of("usual", "open", "tight").contains(setup)) {
            throw new ParseException("--on is " + setup + ", not usual, open or tight");
        }
        double patience = number(line, "patience", 3000, 1, 600_000);
        List<Conformance.Result> results = new ArrayList<>();
        String mark = Long.toString(System.nanoTime(), 36);
        for (Script.Case testCase : Conformance.cases(setup::equals)) {
            if (!testCase.title().contains(line.getOptionValue("only", ""))) {
                continue;
            }
            try (TcpRig rig = new TcpRig(target)) {
                Conformance.Result result = Conformance.play(testCase, rig, patience, mark + "-" + results.size());
                results.add(result);
                if (result.failure() != null) {
                    out.println("FAILS " + testCase.title() + "\n      " + result.failure());
                }
            }
        }
        out.print(Conformance.table(results));
        return results.stream().allMatch(result -> result.failure() == null) ? 0 : 1;
    }

    private static int gearman(CommandLine line, InetSocketAddress target, PrintStream out)
            throws ParseException, IOException {
        LoadPlan plan = new LoadPlan(
                target,
                (long) number(line, "seed", 1, 0, 1e15),
                (int) number(line, "clients", 16, 1, 10_000),
                (int) number(line, "workers", 64, 0, 20_000),
                (int) number(line, "jobs", 10_000, 1, 10_000_000),
                (int) number(line, "warmup", 0, 0, 10_000_000),
                number(line, "rate", 0, 0, 1_000_000),
                (int) number(line, "outstanding", 8, 1, 100_000),
                number(line, "orders", 0, 0, 1),
                number(line, "background", 0, 0, 1),
                (int) number(line, "bytes", 16, 0, 1 << 25),
                ServiceTime.parse(line.getOptionValue("service", "none")),
                number(line, "faults", 0, 0, 1),
                line.getOptionValue("plan", "route-plan"),
                line.getOptionValue("order", "pickup-order"),
                number(line, "patience", 30, 0, 3600),
                (int) number(line, "threads", 2, 1, 64));
        LoadResult result = new LoadRun(plan).run(out, new LoadRun.ServerMeter((long) number(line, "pid", 0, 0, 1e9)));
        String json = line.getOptionValue("json");
        if ("-".equals(json)) {
            out.print(result.json());
        } else if (json != null) {
            Files.writeString(Path.of(json), result.json());
        }
        if (line.hasOption("html")) {
            Files.writeString(Path.of(line.getOptionValue("html")), LoadPage.html(result));
        }
        out.printf(
                "%d jobs, %.0f a second, p50 %.2f ms, p99 %.2f ms, %.1f us of the server's CPU a job, %d rules "
                        + "broken%n",
                result.ended(),
                result.ratePerS(),
                result.percentileMs(50),
                result.percentileMs(99),
                result.cpuMicros(),
                result.broken());
        return result.broken() == 0 && result.ended() >= result.begun() ? 0 : 1;
    }
}
