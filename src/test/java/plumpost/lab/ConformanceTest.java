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
    /** The set-ups that cases name, as an operator's section {@code gearman}. */
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

    /** Guards each case in memory, byte by byte, on a clock that stands still between steps. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void inMemory(Script.Case c) {
        Scenario s = new Scenario(
                0, Scenario.SETTINGS.replace("\"coldMs\":400.0", "\"coldMs\":0.0"), 1024, setUp(c.on()), 64);
        assertThat(Conformance.play(c, s.rig(), 2000, "1").failure()).isNull();
        assertThat(s.counters.toString()).doesNotContain("guard.").doesNotContain("fault");
    }

    /** Guards the same over real sockets, many cases at once on one server. */
    @Test
    void overTcp() throws Exception {
        List<Conformance.Result> results = new ArrayList<>();
        for (String part : List.of("usual", "usual priority.plug", "open", "tight")) {
            String on = part.split(" ")[0];
            // Other cases' jobs that run out of time press the module for a while, which shifts keys: order is apart.
            boolean order = part.contains(" ");
            try (LabServer server = new LabServer(setUp(on), 0)) {
                ExecutorService pool = Executors.newFixedThreadPool(24);
                List<Future<Conformance.Result>> running = new ArrayList<>();
                int n = 0;
                for (Script.Case c : Conformance.cases(on::equals)) {
                    if (order != c.steps().get(0).place().startsWith("priority.plug")) {
                        continue;
                    }
                    String mark = on + n++;
                    running.add(pool.submit(() -> {
                        try (TcpRig rig = new TcpRig(server.address())) {
                            return Conformance.play(c, rig, 3000, mark);
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
                        .map(r -> r.example().title() + ": " + r.failure()))
                .isEmpty();
        assertThat(results).hasSizeGreaterThanOrEqualTo(150);
    }

    /** Guards that no packet type and no admin line is left out. */
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

    /** Guards that a suite which nothing answers to fails: no case may hold on a server that is silent. */
    @Test
    void aSilentServerHoldsNoCase() {
        Rig silent = new Rig() {
            @Override
            public void send(String who, byte[] bytes) {}

            @Override
            public byte[] take(String who, double longestMs) {
                return new byte[0];
            }

            @Override
            public void close(String who) {}

            @Override
            public void pass(double ms) {}
        };
        assertThat(cases().filter(c -> Conformance.play(c, silent, 1, "1").failure() == null))
                .isEmpty();
    }

    /** Guards the errors' place: line and column of what is wrong. */
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
    void mistakesAreToldByLineAndColumn(String textAndPlace) {
        String[] w = textAndPlace.split("\\|");
        assertThatThrownBy(() -> Script.parse("t", "# a comment\n" + w[0]))
                .isInstanceOf(Script.BadScript.class)
                .hasMessageContaining("t " + w[1]);
    }
}
