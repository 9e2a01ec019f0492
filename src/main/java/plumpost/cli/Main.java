package plumpost.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import plumpost.benchlink.SimulatorHost;
import plumpost.config.Json;
import plumpost.config.Json.BadInput;
import plumpost.config.NodeConfig;
import plumpost.config.PeersConfig;
import plumpost.lab.LabMain;

/** The command line: a command followed by its options. */
public final class Main {
    private static final String USAGE = "plumpost serve|rehearse|check|fleet|benchlink|lab|version|help [options]";

    private Main() {}

    /** Runs a command; on bad arguments or a bad configuration prints one line and exits with status 2. */
    public static void main(String[] args) throws IOException {
        System.exit(run(args, System.out, System.err));
    }

    /** Returns the version that the build has written into the jar. */
    static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "unbuilt" : version;
    }

    static int run(String[] args, PrintStream out, PrintStream err) throws IOException {
        if (args.length > 0 && args[0].equals("lab")) {
            return LabMain.run(Arrays.copyOfRange(args, 1, args.length), out, err);
        }
        if (args.length > 0 && args[0].equals("fleet")) {
            return FleetCommands.run(Arrays.copyOfRange(args, 1, args.length), out, err);
        }
        Options options = new Options();
        options.addOption("c", "config", true, "configuration file (default: NODE_CONFIG)");
        options.addOption(null, "data", true, "serve: data directory, overrides peers.data");
        try {
            CommandLine line = new DefaultParser()
                    .parse(options, args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length));
            if (!line.getArgList().isEmpty()) {
                throw new ParseException(
                        "unexpected argument " + line.getArgList().get(0));
            }
            switch (args.length == 0 ? "" : args[0]) {
                case "serve" -> {
                    return new Serve(Serve.configPath(line.getOptionValue("config")), line.getOptionValue("data"))
                            .run();
                }
                case "rehearse" -> {
                    return new Serve(Serve.configPath(line.getOptionValue("config")), null).rehearse();
                }
                case "check" -> {
                    Json.Fields file = NodeConfig.parse(Serve.configPath(line.getOptionValue("config")));
                    NodeConfig config = NodeConfig.from(file, System.getenv());
                    if (!file.ignored().isEmpty()) {
                        throw new BadInput(file.ignored().get(0)); // serve would only log it
                    }
                    if (config.peers() != null) {
                        PeersConfig.read(config.peers(), config.name(), null, config.discovery() != null);
                    }
                    out.println("configuration of " + config.name() + " is valid");
                }
                case "benchlink" -> {
                    return new SimulatorHost(System.in, out, err).run();
                }
                case "version" -> out.println("plumpost " + version());
                case "help" -> new HelpFormatter().printHelp(USAGE, options);
                default -> throw new ParseException("usage: " + USAGE);
            }
            return 0;
        } catch (ParseException | BadInput e) {
            err.println("plumpost: " + e.getMessage());
            return 2;
        }
    }
}
