package plumpost.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import plumpost.config.Json;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.config.NodeConfig;
import plumpost.config.PeersConfig;
import plumpost.log.LinesProvider;
import plumpost.peers.Peers;

/** The operators' commands to a running fleet: {@code show}, {@code yield DUTY} and {@code remove NAME}. */
final class FleetCommands {
    private static final String USAGE = "plumpost fleet show|yield DUTY|remove NAME [options]";

    private FleetCommands() {}

    static int run(String[] args, PrintStream out, PrintStream err) {
        Options options = new Options();
        options.addOption("c", "config", true, "configuration file of any member (default: NODE_CONFIG)");
        options.addOption(null, "json", false, "show: print JSON");
        options.addOption("h", "help", false, "print this help");
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            List<String> arguments = line.getArgList();
            if (line.hasOption("help")) {
                new HelpFormatter().printHelp(USAGE, options);
                return 0;
            }
            String command = arguments.isEmpty() ? "" : arguments.get(0);
            boolean known = command.equals("show")
                    ? arguments.size() == 1
                    : Arrays.asList("yield", "remove").contains(command) && arguments.size() == 2;
            if (!known) {
                throw new ParseException("usage: " + USAGE);
            }
            NodeConfig config = NodeConfig.read(Serve.configPath(line.getOptionValue("config")), System.getenv());
            PeersConfig peers = PeersConfig.fromNodeConfig(config);
            LinesProvider.configure("fleet", false);
            String answer = Peers.maker().call(peers, command, arguments.size() > 1 ? arguments.get(1) : "");
            out.println(command.equals("show") && !line.hasOption("json") ? text(answer) : answer);
            return 0;
        } catch (ParseException | BadInput e) {
            err.println("plumpost: " + e.getMessage());
            return 2;
        }
    }

    /** Formats the JSON answer of {@code show} as text. */
    private static String text(String json) {
        Fields report = Json.object("fleet", json.getBytes(StandardCharsets.UTF_8));
        StringBuilder text = new StringBuilder(
                "leader " + report.text("leader") + ", record format " + report.integer("format") + "\n\n");
        text.append(String.format("%-20s %-9s %12s  %-12s %s%n", "member", "state", "incarnation", "site", "vote"));
        for (Object item : report.list("members")) {
            Fields member = Json.fields("members", item);
            text.append(String.format(
                    "%-20s %-9s %12d  %-12s %s%n",
                    member.text("name"),
                    member.text("state"),
                    member.longInteger("incarnation"),
                    member.text("site"),
                    member.flag("vote", false) ? "yes" : "no"));
        }
        text.append(String.format("%n%-28s %-20s %8s  %s%n", "duty", "owner", "fence", "site"));
        for (Object item : report.list("duties")) {
            Fields duty = Json.fields("duties", item);
            text.append(String.format(
                    "%-28s %-20s %8d  %s%n",
                    duty.text("name"), duty.text("owner"), duty.longInteger("fence"), duty.text("site")));
        }
        Map<String, Object> schedule = report.object("schedule").map();
        text.append("\noffline by hand: ")
                .append(report.list("offline").isEmpty() ? "none" : report.list("offline"))
                .append("\nschedule: ")
                .append(schedule);
        return text.toString();
    }
}
