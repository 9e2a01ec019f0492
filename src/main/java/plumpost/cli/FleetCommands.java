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

/** The operators' commands to a fleet that runs: {@code show}, {@code yield DUTY} and {@code remove NAME}. */
final class FleetCommands {
    private static final String USAGE = "plumpost fleet show|yield DUTY|remove NAME [options]";

    private FleetCommands() {}

    static int run(String[] args, PrintStream out, PrintStream err) {
        Options options = new Options();
        options.addOption("c", "config", true, "configuration file of any member; NODE_CONFIG where it is not given");
        options.addOption(null, "json", false, "show: as JSON");
        options.addOption("h", "help", false, "tells this");
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            List<String> words = line.getArgList();
            if (line.hasOption("help")) {
                new HelpFormatter().printHelp(USAGE, options);
                return 0;
            }
            String command = words.isEmpty() ? "" : words.get(0);
            boolean known = command.equals("show")
                    ? words.size() == 1
                    : Arrays.asList("yield", "remove").contains(command) && words.size() == 2;
            if (!known) {
                throw new ParseException("usage: " + USAGE);
            }
            NodeConfig config = NodeConfig.read(Serve.file(line.getOptionValue("config")), System.getenv());
            PeersConfig peers = PeersConfig.of(config);
            LinesProvider.begin("fleet", false);
            String answer = Peers.maker().call(peers, command, words.size() > 1 ? words.get(1) : "");
            out.println(command.equals("show") && !line.hasOption("json") ? page(answer) : answer);
            return 0;
        } catch (ParseException | BadInput e) {
            err.println("plumpost: " + e.getMessage());
            return 2;
        }
    }

    /** The page as a person reads it. */
    private static String page(String json) {
        Fields f = Json.object("fleet", json.getBytes(StandardCharsets.UTF_8));
        StringBuilder all =
                new StringBuilder("leader " + f.text("leader") + ", record format " + f.whole("format") + "\n\n");
        all.append(String.format("%-20s %-9s %12s  %-12s %s%n", "member", "state", "incarnation", "site", "vote"));
        for (Object o : f.list("members")) {
            Fields m = Json.fields("members", o);
            all.append(String.format(
                    "%-20s %-9s %12d  %-12s %s%n",
                    m.text("name"),
                    m.text("state"),
                    m.longWhole("incarnation"),
                    m.text("site"),
                    m.flag("vote", false) ? "yes" : "no"));
        }
        all.append(String.format("%n%-28s %-20s %8s  %s%n", "duty", "owner", "fence", "site"));
        for (Object o : f.list("duties")) {
            Fields d = Json.fields("duties", o);
            all.append(String.format(
                    "%-28s %-20s %8d  %s%n", d.text("name"), d.text("owner"), d.longWhole("fence"), d.text("site")));
        }
        Map<String, Object> s = f.object("schedule").map();
        all.append("\noffline by hand: ")
                .append(f.list("offline").isEmpty() ? "none" : f.list("offline"))
                .append("\nschedule: ")
                .append(s);
        return all.toString();
    }
}
