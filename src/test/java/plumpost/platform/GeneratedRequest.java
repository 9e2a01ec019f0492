package plumpost.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * A request made from the grammar of RFC 9112 and the fields of the protocol page, sound until it is mutated. Each mutation adds
 * something that no other one can make sound again, so that the verdict is known without a parser.
 */
final class GeneratedRequest {
    private static final String PATH = "abcXYZ019-._~!$&'()*+,;=:@/";
    private static final String TOKEN = "abcXYZ019!#$%&'*+-.^_`|~";
    private static final String NOT_IN_TARGETS = "\"<>\\^`{|}#[]\u00e9";
    private static final String NOT_IN_TOKENS = "()<>@,\\/[]?={}\u00e9 ";

    private final SplittableRandom random;
    private final List<String> fields = new ArrayList<>();
    private String start;
    private String body = "";
    private boolean chunked;
    private final Set<Integer> applied = new TreeSet<>();
    /** Whether the verdict holds only if all bytes are read at once. */
    private boolean wholeReadOnly;
    /** Whether what follows on the connection is taken for a part of this request. */
    private boolean swallows;

    GeneratedRequest(SplittableRandom random, String id) {
        this.random = random;
        start = "POST /route-plan" + (random.nextBoolean() ? "/" + text(PATH, 12) : "")
                + (random.nextBoolean() ? "?" + text(PATH + "?", 12) + "%2" + random.nextInt(10) : "") + " HTTP/1.1";
        addField("Host", oneOf("h", "origin.svc:8000", "127.0.0.1", "[::1]:80", ""));
        addField("X-Txn", id);
        maybe(() -> addField("X-Lane", "route-plan"));
        maybe(() -> addField("X-Remaining-Ms", Integer.toString(1_000 + random.nextInt(9_000))));
        maybe(() -> addField("X-Estimate", Integer.toString(random.nextInt(100_000))));
        maybe(() -> addField("X-Labels", oneOf("", "slots=1", "Slots=2, memory=0.5,x=-1e2", "needs=1,y=7")));
        maybe(() -> addField("X-Resent", "1"));
        maybe(() -> addField("Cookie", oneOf("obj=7f", "a=b; obj=c", "a=b")));
        maybe(() -> addField("X-" + text(TOKEN, 8), text(PATH + " \t\u00e9", 20)));
        frame();
        for (int i = fields.size() - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            fields.set(i, fields.set(other, fields.get(i)));
        }
    }

    private void maybe(Runnable step) {
        if (random.nextBoolean()) {
            step.run();
        }
    }

    private String oneOf(String... texts) {
        return texts[random.nextInt(texts.length)];
    }

    private String text(String characters, int maxLength) {
        StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(maxLength); i >= 0; i--) {
            text.append(characters.charAt(random.nextInt(characters.length())));
        }
        return text.toString();
    }

    private void addField(String name, String value) {
        StringBuilder mixed = new StringBuilder();
        for (char c : name.toCharArray()) {
            mixed.append(random.nextBoolean() ? Character.toLowerCase(c) : Character.toUpperCase(c));
        }
        fields.add(mixed + ":" + oneOf("", " ", " \t ") + value + oneOf("", " ", "\t"));
    }

    private void frame() {
        switch (random.nextInt(3)) {
            case 0 -> {
                return; // no body
            }
            case 1 -> {
                body = text("abc{}\r\n\0", 200);
                addField("Content-Length", Integer.toString(body.length()));
            }
            default -> {
                chunked = true;
                addField("Transfer-Encoding", oneOf("chunked", "CHUNKED"));
                StringBuilder chunks = new StringBuilder();
                for (int i = random.nextInt(3); i > 0; i--) {
                    String data = text("abc{}\r\n\0", 40);
                    chunks.append(oneOf("", "00"))
                            .append(oneOf(
                                    Integer.toHexString(data.length()),
                                    Integer.toHexString(data.length()).toUpperCase(java.util.Locale.ROOT)))
                            .append(extension())
                            .append("\r\n")
                            .append(data)
                            .append("\r\n");
                }
                body = chunks + oneOf("0", "000") + extension() + "\r\n" + trailer() + "\r\n";
            }
        }
    }

    private String extension() {
        String blank = oneOf("", " ", "\t");
        return random.nextBoolean()
                ? ""
                : blank + ";" + blank + text(TOKEN, 5)
                        + oneOf("", blank + "=" + blank + text(TOKEN, 5), "=\"a;\\\"\u00e9 b\"");
    }

    private String trailer() {
        return random.nextBoolean() ? "" : "x-" + text(TOKEN, 5) + ":" + text(PATH + " ", 9) + "\r\n";
    }

    // ---- mutations ----

    /** Makes the request unsound by one of many rules; {@code knownId} is the id of a request that was served a moment ago. */
    void mutate(String knownId) {
        List<Consumer<String>> kinds = List.of(
                none -> insertIntoTarget(
                        String.valueOf(NOT_IN_TARGETS.charAt(random.nextInt(NOT_IN_TARGETS.length())))),
                none -> insertIntoTarget(oneOf("%g0", "%0_", " ", "%%")),
                none -> start =
                        start.replaceAll("HTTP/1.[01]$", oneOf("HTTP/2.0", "http/1.1", "HTTP/1.1 ", "HTTP/1.", "")),
                none -> start = start.replaceFirst("/route-plan", oneOf("/none", "/", "//route-plan", "route-plan")),
                none -> addField("Host", oneOf("h", "i", "")),
                none -> replaceField("host", oneOf("a b", "a/b", "u@h", "h:x", "[::1", "h:1:2", "%zz", ":80")),
                none -> removeFields("x-txn"),
                none -> twice("X-Txn", "second"),
                none -> replaceField("x-txn", oneOf("", "a b", "\u00e9", "x".repeat(129))),
                none -> replaceField("x-txn", knownId),
                none -> twice("X-Lane", "route-plan"),
                none -> addField("X-Lane", "pickup-order"),
                none -> twice("X-Remaining-Ms", "5000"),
                none -> addField("X-Remaining-Ms", notANumber()),
                none -> twice("X-Estimate", "5"),
                none -> addField("X-Estimate", notANumber()),
                none -> twice("X-Labels", "slots=1"),
                none -> addField(
                        "X-Labels",
                        oneOf("a=1,a=2", "=1", "a", "a=", "a=NaN", "a=1;b=2", "memory=-1", "slots=65", ",")),
                none -> twice("X-Resent", "1"),
                none -> addField("X-Resent", oneOf("yes", "", "2", "11")),
                none -> addField("Cookie", "obj=a; obj=b"),
                none -> fields.add("X-A: a" + oneOf("\u0001", "\u007f", "\0", "a\rb") + "b"),
                none -> fields.add(oneOf("X-A : 1", ": 1", "X-A", " X-A: 1", "\tX-A: 1", "X\u00e9: 1")),
                none -> fields.add("X" + NOT_IN_TOKENS.charAt(random.nextInt(NOT_IN_TOKENS.length())) + ": 1"),
                none -> fields.add("X-A: 1\nX-B: 2"),
                none -> twice("Content-Length", "5"),
                none -> addField("Content-Length", oneOf("-1", "+1", "", "1,1", "0x1", "1 1", "9".repeat(30), "99999")),
                none -> fields.addAll(List.of("Content-Length: 1", "Transfer-Encoding: chunked")),
                none -> addField(
                        "Transfer-Encoding", oneOf("gzip", "identity", "", "chunked, chunked", "gzip, chunked")),
                none -> twice("Transfer-Encoding", "chunked"),
                none -> chunk(
                        oneOf("", "g", "-1", "+1", "0x1", "1 ", "1 a", " 1", "1;", "1;=a", "1;a=", "1;a b", "1;a=\"b")),
                none -> chunk(oneOf("1;a=\"b\"c", "1;a=b=c", "1;\"a\"", "1;a=\u00e9", "1\n", "f".repeat(20), "1\t")),
                none -> rawChunks("1\r\nxx\r\n0\r\n\r\n"),
                none -> rawChunks(oneOf("1\r\nx\n0\r\n\r\n", "1\nx\r\n0\r\n\r\n", "1\r\nx0\r\n\r\n", "\r\n0\r\n\r\n")),
                none -> rawChunks("0\r\n" + oneOf("a", ": b", "a b: c", " a: b", "a: b\rc", "a: \u0001") + "\r\n\r\n"),
                none -> rawChunks(
                        "0\r\n" + oneOf("Content-Length", "host", "X-Txn", "transfer-encoding") + ": 1\r\n\r\n"),
                none -> shorten(),
                none -> cutOff());
        int kind = random.nextInt(kinds.size());
        if (applied.add(kind)) { // a mutation applied twice may undo itself
            kinds.get(kind).accept("");
        }
    }

    private void insertIntoTarget(String text) {
        int from = "POST /".length();
        int to = Math.max(from, start.lastIndexOf(' '));
        int at = Math.min(start.length(), from + random.nextInt(to - from + 1));
        boolean insideCode = start.lastIndexOf('%', at) >= at - 2 && start.lastIndexOf('%', at) >= from;
        int place = insideCode ? Math.min(start.length(), from) : at;
        start = start.substring(0, place) + text + start.substring(place);
    }

    private String notANumber() {
        return oneOf("soon", "", "-1", "+1", "1.5", "0x1", "1e3", "1 2", "9".repeat(30), "NaN");
    }

    private void removeFields(String lowerName) {
        fields.removeIf(line -> line.toLowerCase(java.util.Locale.ROOT).startsWith(lowerName + ":"));
    }

    private void replaceField(String lowerName, String value) {
        removeFields(lowerName);
        addField(lowerName, value);
    }

    private void twice(String name, String value) {
        addField(name, value);
        addField(name, value);
    }

    private void rawChunks(String chunks) {
        removeFields("content-length");
        removeFields("transfer-encoding");
        fields.add("Transfer-Encoding: chunked");
        chunked = true;
        body = chunks;
        wholeReadOnly = true; // the rest may look like a request of its own where an earlier mutation ended the framing
    }

    private void chunk(String size) {
        rawChunks(size + "\r\nx\r\n0\r\n\r\n");
    }

    /** States a shorter length than that of the body, whose rest can't begin a request. */
    private void shorten() {
        removeFields("content-length");
        removeFields("transfer-encoding");
        chunked = false;
        String shown = text("abc", 20);
        fields.add("Content-Length: " + shown.length());
        body = shown + oneOf("{", "x", "\"}", "\0", "post", "GETx") + text("abc", 5);
        wholeReadOnly = true;
    }

    /** Leaves out the end of the request, which is never sent. */
    private void cutOff() {
        removeFields("content-length");
        removeFields("transfer-encoding");
        chunked = false;
        body = text("abc", 20);
        fields.add("Content-Length: " + (body.length() + 1 + random.nextInt(1_000)));
        swallows = true;
    }

    boolean mustBeReadWhole() {
        return wholeReadOnly;
    }

    boolean swallowsWhatFollows() {
        return swallows;
    }

    String bytes() {
        return start + "\r\n" + String.join("\r\n", fields) + "\r\n\r\n" + body;
    }

    @Override
    public String toString() {
        return (chunked ? "chunked, " : "") + "mutations " + applied + ": " + bytes();
    }
}
