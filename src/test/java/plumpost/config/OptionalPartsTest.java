package plumpost.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;

/** Optional or unknown parts of the platform's configuration never prevent the start. */
class OptionalPartsTest {
    /** A file with all documented settings of the platform, for schedulers that may communicate with each other. */
    private static final String COMPLETE_FILE = """
        {"name":"n3","listen":"127.0.0.1:8000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
        "limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},
        "peers":["127.0.0.1:9001","127.0.0.1:9002"],"peers_all":"127.0.0.1:9100","peer_listen":"127.0.0.1:9000",
        "known":{"seq":41,"whole":true,"hosts":[{"host":"w","dial":"127.0.0.1:1","site":"p","class":"k","block":3,
          "health":"up","share":1.0,"born_ms":0}]},
        "settings":{"balancers":3,"index":1,"locality":0,"tier":0,"family":"jobs","layers":["route-nodes"],
        "membershipMode":"on_request","granularityMs":2.0,"overShareWorth":0.1,"weights":"rough","worthBy":"work",
        "dcs":["p"],"shapes":["k"],"tenants":[{"name":"t","quotaPerS":5.0,"share":0.4}],
        "clients":{"marksRetry":false},"scoreParts":{"whole":0.55},
        "classes":[{"name":"a","sloMs":600.0,"aimStretch":1.0,"deadlineMs":8000.0,"effect":"guarded","keyScope":"zone",
          "windowMs":5000.0,"importance":1.0,"lateWorth":0.0,"stream":false}],
        "ceilings":{"cancelling":true,"cpuUsPerS":8000,"dialTimeoutMs":250.0,"keepaliveMs":5000.0,"maxAttempts":6,
          "maxOpen":20000,"maxRetryAfterMs":2000.0,"multiplex":1,"parallelTries":false,"peers":true,"probes":true,
          "retryAfter":false},
        "familyInfo":{"classKind":[-1],"classPriority":[0],"classStretch":[2.0],"memoryUnit":"slots","notes":"1",
          "progressMs":2000.0,"queueOrder":"fifo","reportX0":"free slots","tellsStart":true},
        "fees":{"crossZone":0.03,"handshake":0.0,"lateFail":0.05,"peer":0.0,"probe":0.0016,"waste":0.015},
        "report":{"fields":["latency_ms","x0"],"via":"pull"},
        "rules":{"coldFrom":0.32,"coldMs":8900.0,"fallMs":1000.0,"fallMultiple":3.0,"graceToAnswerMs":8.0,
          "mustAskInMs":10000.0,"stopSendingWithinMs":400.0}}}""";

    /** Required settings: without them the program cannot serve. */
    private static final List<String> REQUIRED = List.of(
            "listen",
            "settings",
            "settings.classes",
            "settings.classes.sloMs",
            "settings.classes.deadlineMs",
            "settings.classes.effect",
            "settings.rules");
    /** Limits that are checked: a number out of range is reported as an error. */
    private static final List<String> RANGE_CHECKED = List.of("limits.sockets", "settings.ceilings.maxAttempts");

    @TempDir
    private Path folder;

    private static List<Object> valuesOfEachKind() {
        List<Object> values =
                new ArrayList<>(List.of(true, 70L, 70.5, "", "text", List.of(), List.of("a", 1L, Map.of())));
        values.addAll(
                List.of(Map.of(), Map.of("127.0.0.1:9001", "n1"), Map.of("n1", Map.of("address", "127.0.0.1:9001"))));
        values.add(null);
        return values;
    }

    private static List<String> paths(String prefix, Object value) {
        List<String> paths = new ArrayList<>();
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, inner) -> {
                String path = prefix.isEmpty() ? (String) name : prefix + "." + name;
                paths.add(path);
                paths.addAll(paths(path, inner));
            });
        } else if (value instanceof List<?> list && !list.isEmpty()) {
            paths.addAll(paths(prefix, list.get(0)));
        }
        return paths;
    }

    /** Returns a copy with the value at a path replaced; in a list the path applies to the first item. */
    private static Object replaced(Object whole, List<String> path, Object value) {
        if (path.isEmpty()) {
            return value;
        }
        if (whole instanceof List<?> list) {
            return List.of(replaced(list.get(0), path, value));
        }
        Map<String, Object> copy = new LinkedHashMap<>();
        ((Map<?, ?>) whole)
                .forEach((name, inner) -> copy.put(
                        (String) name,
                        name.equals(path.get(0)) ? replaced(inner, path.subList(1, path.size()), value) : inner));
        return copy;
    }

    private static Fields completeFile() {
        return Json.object("configuration", COMPLETE_FILE.getBytes(StandardCharsets.UTF_8))
                .lenient();
    }

    private static NodeConfig replaced(String path, Object value) {
        Object changed = replaced(completeFile().map(), List.of(path.split("\\.")), value);
        return NodeConfig.from(Json.fields("configuration", changed).lenient(), Map.of());
    }

    /** A value of any type at any optional path, including the platform's addresses of peers, does not prevent the start. */
    @Test
    void noOptionalValuePreventsTheStart() {
        int checked = 0;
        for (String path : paths("", completeFile().map())) {
            for (Object value : valuesOfEachKind()) {
                boolean rangeChecked = RANGE_CHECKED.contains(path) && value instanceof Number;
                if (!REQUIRED.contains(path)
                        && !rangeChecked
                        && !(path.equals("discovery") && value instanceof String)) {
                    NodeConfig config = replaced(path, value);
                    assertThat(config.peers()).as(path + " " + value).isNull();
                    assertThat(config.listen().getPort()).isEqualTo(8000);
                    checked++;
                }
            }
        }
        assertThat(checked).isGreaterThan(700);
    }

    /** Unknown keys, at the top level and in nested objects, are ignored. */
    @Test
    void unknownKeysAreIgnored() {
        for (Object value : valuesOfEachKind()) {
            for (String path : List.of("", "limits.", "settings.", "settings.rules.", "settings.ceilings.", "known.")) {
                Object changed = replaced(completeFile().map(), List.of((path + "unheard_of").split("\\.")), value);
                Map<String, Object> extended =
                        new LinkedHashMap<>(Json.fields("c", changed).map());
                extended.put("unheard_of", value);
                assertThat(NodeConfig.from(
                                        Json.fields("configuration", extended).lenient(), Map.of())
                                .name())
                        .isEqualTo("n3");
            }
        }
    }

    /** Each ignored field is reported with its name, its value and the expected type. */
    @Test
    void ignoredFieldsAreReported() throws IOException {
        Path file = folder.resolve("c.json");
        Files.writeString(file, COMPLETE_FILE.replace("\"tellsStart\":true", "\"tellsStart\":\"maybe\""));
        Fields read = NodeConfig.parse(file);
        assertThat(NodeConfig.from(read, Map.of()).settings().tellsStart()).isFalse();
        assertThat(read.ignored())
                .containsExactly("configuration.settings.familyInfo: field tellsStart is maybe, not true or false,"
                        + " and is passed over");
    }

    /** At SIGHUP a file with a value that would be ignored is rejected, unless the applied file had the same one. */
    @Test
    void atSighupAFileWithAnIgnoredFieldIsRejected() {
        Fields bad = Json.object(
                        "configuration",
                        COMPLETE_FILE.replace("\"probes\":true", "\"probes\":7").getBytes(StandardCharsets.UTF_8))
                .lenient();
        assertThatThrownBy(() -> NodeConfig.reload(completeFile(), bad, Map.of()))
                .isInstanceOf(BadInput.class)
                .hasMessageContaining("field probes is 7");
        Fields again = Json.fields("configuration", bad.map()).lenient();
        assertThat(NodeConfig.reload(bad, again, Map.of()).name())
                .as("the same ignored field as in the applied file")
                .isEqualTo("n3");
    }

    /** The fleet's section is read under both of its names, and a faulty one is reported instead of being ignored. */
    @ParameterizedTest
    @ValueSource(strings = {"peers", "plumpost_fleet"})
    void theFleetSectionIsReadUnderBothNames(String name) {
        Map<String, Object> section = Map.of("data", "/nowhere", "members", List.of());
        Map<String, Object> extended = new LinkedHashMap<>(completeFile().map());
        extended.put(name, section);
        NodeConfig config =
                NodeConfig.from(Json.fields("configuration", extended).lenient(), Map.of());
        assertThat(config.peers().map()).isEqualTo(section);
        assertThatThrownBy(() -> PeersConfig.read(config.peers(), "n3", null, false))
                .isInstanceOf(BadInput.class)
                .hasMessageContaining("members gives 0 a vote");
    }
}
