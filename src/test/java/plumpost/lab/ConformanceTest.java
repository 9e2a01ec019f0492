package plumpost.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.Scenario;
import plumpost.config.GearmanConfig;
import plumpost.config.Json;
import plumpost.config.NodeConfig;
import plumpost.gearman.Packet;
import plumpost.lab.script.Conformance;
import plumpost.lab.script.Rig;
import plumpost.lab.script.Script;
import plumpost.lab.script.TcpRig;

/** The conformance suite, against plumpost in memory and over TCP. */
class ConformanceTest {
    /** The common part of the set-ups that cases name, in the form of the {@code gearman} section of the settings. */
    private static final String RULES = "\"listen\":\"127.0.0.1:0\",\"functions\":[{\"match\":\"order-*\",\"class\":"
            + "\"pickup-order\"},{\"match\":\"plan*\",\"class\":\"route-plan\"}]";

    static GearmanConfig setUp(String name) {
        String more =
                switch (name) {
                    case "open" -> ",\"admin\":{\"shutdown\":true,\"drop\":true,\"cancel\":true,\"create\":true}";
                    case "tight" ->
                        ",\"limits\":{\"packetBytes\":4096,\"queue\":3,\"jobsPerClient\":4,\"scheduled\":2}";
                    default -> "";
                };
        return NodeConfig.gearman(object("{" + RULES + more + "}"), object(Scenario.SETTINGS));
    }

    private static Json.Fields object(String text) {
        return Json.object("configuration.gearman", text.getBytes(StandardCharsets.UTF_8));
    }

    static Stream<Script.Case> cases() {
        return Conformance.cases(on -> true).stream();
    }

    /** Runs each case in memory, on a clock that stands still between steps. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void inMemory(Script.Case testCase) {
        Scenario scenario = new Scenario(
                0, Scenario.SETTINGS.replace("\"coldMs\":400.0", "\"coldMs\":0.0"), 1024, setUp(testCase.setup()), 64);
        assertThat(Conformance.play(testCase, scenario.scriptRig(), 2000, "1").failure())
                .isNull();
        assertThat(scenario.counters.toString()).doesNotContain("guard.").doesNotContain("fault");
    }

    /** Runs the cases over real sockets, many of them concurrently on one server. */
    @Test
    void overTcp() throws Exception {
        List<Conformance.Result> results = new ArrayList<>();
        for (String part : List.of("usual", "usual priority.plug", "open", "tight")) {
            String setup = part.split(" ")[0];
            // Jobs of other cases that time out load the module for a while, which shifts keys: priority cases run
            // apart.
            boolean priorityCases = part.contains(" ");
            try (LabServer server = new LabServer(setUp(setup), 0)) {
                ExecutorService pool = Executors.newFixedThreadPool(24);
                List<Future<Conformance.Result>> running = new ArrayList<>();
                int caseNumber = 0;
                for (Script.Case testCase : Conformance.cases(setup::equals)) {
                    if (priorityCases != testCase.steps().get(0).location().startsWith("priority.plug")) {
                        continue;
                    }
                    String mark = setup + caseNumber++;
                    running.add(pool.submit(() -> {
                        try (TcpRig rig = new TcpRig(server.address())) {
                            return Conformance.play(testCase, rig, 3000, mark);
                        }
                    }));
                }
                for (Future<Conformance.Result> r : running) {
                    results.add(r.get());
                }
                pool.shutdown();
            }
        }
        assertThat(results.stream()
                        .filter(r -> r.failure() != null)
                        .map(r -> r.testCase().title() + ": " + r.failure()))
                .isEmpty();
        assertThat(results).hasSizeGreaterThanOrEqualTo(150);
    }

    /** Every packet type and every admin line must be covered by a case. */
    @Test
    void everyPacketTypeAndAdminLineIsCovered() {
        Set<String> covered = cases().flatMap(c -> c.covers().stream())
                .map(t -> t.split("\\|")[0])
                .collect(Collectors.toSet());
        assertThat(covered)
                .contains(Stream.of(Packet.Type.values()).map(Enum::name).toArray(String[]::new))
                .contains(
                        "status",
                        "prioritystatus",
                        "workers",
                        "show jobs",
                        "show unique jobs",
                        "cancel job",
                        "create function",
                        "drop function",
                        "maxqueue",
                        "getpid",
                        "verbose",
                        "version",
                        "shutdown",
                        "shutdown graceful");
    }

    /** No case may pass against a server that never answers. */
    @Test
    void silentServerPassesNoCase() {
        Rig silent = new Rig() {
            @Override
            public void send(String who, byte[] bytes) {}

            @Override
            public byte[] receive(String who, double longestMs) {
                return new byte[0];
            }

            @Override
            public void close(String who) {}

            @Override
            public void advance(double ms) {}
        };
        assertThat(cases().filter(c -> Conformance.play(c, silent, 1, "1").failure() == null))
                .isEmpty();
    }

    /** A script error must name the line and column of the mistake. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "plug1 sned x|line 2 column 7",
                "wait|line 2 column 5",
                "case x|line 2 column 6",
                "repeat 2 {|line 2 column 11",
                "plug1 wait x|line 2 column 12",
                "repeat 1.5 {\n}|line 2 column 1"
            })
    void scriptErrorsNameLineAndColumn(String textAndPlace) {
        String[] parts = textAndPlace.split("\\|");
        assertThatThrownBy(() -> Script.parse("t", "# a comment\n" + parts[0]))
                .isInstanceOf(Script.BadScript.class)
                .hasMessageContaining("t " + parts[1]);
    }
}
