package plumpost.lab.script;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import plumpost.gearman.Packet;

/**
 * Plays the steps of a script on a rig as Gearman peers. {@code TYPE|argument|argument} denotes a packet, {@code text:} an
 * admin line, {@code "..."} raw bytes, {@code @70000} that many letters x, and {@code $name} the value of a variable. In an
 * expectation {@code *} matches anything, a variable without a value is bound to what it matches, {@code closed} expects
 * the end of the connection, and {@code nothing} expects that no bytes arrive for a short time.
 */
public final class Player {
    /** Thrown when a step fails or an expectation is not met. */
    public static final class StepFailed extends RuntimeException {
        private static final long serialVersionUID = 1L;

        StepFailed(String words) {
            super(words, null, false, false);
        }
    }

    private static final double SILENCE_MS = 60;
    private static final Pattern PLACEHOLDER = Pattern.compile("\\$([a-z][a-z0-9]*)|@([0-9]{1,8})");

    private final Rig rig;
    private final double timeoutMs;
    private final Map<String, String> names;
    private final Map<String, byte[]> unread = new HashMap<>();

    /** Creates a player that waits {@code timeoutMs} for what is expected, with initial values of variables. */
    public Player(Rig rig, double timeoutMs, Map<String, String> names) {
        this.rig = rig;
        this.timeoutMs = timeoutMs;
        this.names = new HashMap<>(names);
    }

    /** Plays a step; throws {@link StepFailed} if it fails. */
    public void play(Script.Step step) {
        switch (step.verb()) {
            case SEND -> rig.send(step.peer(), bytes(step));
            case EXPECT -> expect(step);
            case CLOSE -> rig.close(step.peer());
            case PASS -> rig.advance(Double.parseDouble(step.text()));
            default -> throw new StepFailed(step.location() + ": " + step.verb() + " is not for Gearman peers");
        }
    }

    private String substitute(Script.Step step, String words) {
        Matcher matcher = PLACEHOLDER.matcher(words);
        StringBuilder all = new StringBuilder();
        while (matcher.find()) {
            String value = matcher.group(2) != null
                    ? "x".repeat(Integer.parseInt(matcher.group(2)))
                    : names.get(matcher.group(1));
            if (value == null) {
                throw new StepFailed(step.location() + ": $" + matcher.group(1) + " has no value yet");
            }
            matcher.appendReplacement(all, Matcher.quoteReplacement(value));
        }
        return matcher.appendTail(all).toString();
    }

    private static String unquote(String words) {
        return words.substring(1, words.length() - 1).translateEscapes();
    }

    private byte[] bytes(Script.Step step) {
        String words = step.text();
        if (words.startsWith("\"")) {
            return unquote(substitute(step, words)).getBytes(StandardCharsets.ISO_8859_1);
        }
        if (words.startsWith("text:")) {
            return (substitute(step, words).substring(5) + "\n").getBytes(StandardCharsets.UTF_8);
        }
        String[] parts = substitute(step, words).split("\\|", -1);
        Packet.Type type;
        try {
            type = Packet.Type.valueOf(parts[0]);
        } catch (IllegalArgumentException e) {
            throw new StepFailed(step.location() + ": no packet type " + parts[0]);
        }
        Object[] arguments = new Object[parts.length - 1];
        System.arraycopy(parts, 1, arguments, 0, arguments.length);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (ByteBuffer b : Packet.encode(Packet.REQUEST, type, arguments)) {
            byte[] chunk = b == null ? new byte[0] : new byte[b.remaining()];
            if (b != null) {
                b.get(chunk);
            }
            all.writeBytes(chunk);
        }
        return all.toByteArray();
    }

    // ---- expectations ----

    private void expect(Script.Step step) {
        String words = step.text();
        switch (words) {
            case "nothing" -> {
                String more = awaitUnread(step.peer(), SILENCE_MS) ? quote(unread.get(step.peer())) : "nothing";
                check(step, more.equals("nothing"), more);
            }
            case "closed" -> {
                while (awaitUnread(step.peer(), timeoutMs)) {
                    check(step, unread.get(step.peer()).length == 0, quote(unread.get(step.peer())));
                }
                check(step, rig.receive(step.peer(), 0) == null, "an open connection");
            }
            default -> {
                if (words.startsWith("\"")) {
                    expectText(step);
                } else {
                    expectPacket(step);
                }
            }
        }
    }

    private static void check(Script.Step step, boolean holds, String got) {
        if (!holds) {
            throw new StepFailed(step.location() + ": " + step.peer() + " expects " + step.text() + " and gets " + got);
        }
    }

    /** Waits for unread bytes unless there are some already; true if there are any. */
    private boolean awaitUnread(String who, double ms) {
        byte[] available = unread.getOrDefault(who, new byte[0]);
        if (available.length > 0) {
            return true;
        }
        return awaitMore(who, ms) && unread.get(who).length > 0;
    }

    /** Waits for more bytes and appends them to the unread ones; false if none came. */
    private boolean awaitMore(String who, double ms) {
        byte[] received = rig.receive(who, ms);
        if (received == null || received.length == 0) {
            return false;
        }
        byte[] available = unread.getOrDefault(who, new byte[0]);
        byte[] all = java.util.Arrays.copyOf(available, available.length + received.length);
        System.arraycopy(received, 0, all, available.length, received.length);
        unread.put(who, all);
        return true;
    }

    private void expectText(Script.Step step) {
        Pattern pattern = pattern(step, unquote(step.text()));
        do {
            String got = new String(unread.getOrDefault(step.peer(), new byte[0]), StandardCharsets.ISO_8859_1);
            if (pattern.matcher(got).matches()) {
                unread.remove(step.peer());
                return;
            }
        } while (awaitMore(step.peer(), timeoutMs));
        check(step, false, quote(unread.getOrDefault(step.peer(), new byte[0])));
    }

    private void expectPacket(Script.Step step) {
        String who = step.peer();
        int size = 12;
        for (byte[] available = unread.getOrDefault(who, new byte[0]);
                available.length < size;
                available = unread.getOrDefault(who, new byte[0])) {
            size = available.length < 12 ? 12 : 12 + ByteBuffer.wrap(available).getInt(8);
            if (available.length < size && !awaitMore(who, timeoutMs)) {
                check(step, false, available.length == 0 ? "nothing" : quote(available));
            }
        }
        byte[] available = unread.get(who);
        size = 12 + ByteBuffer.wrap(available).getInt(8);
        while (available.length < size) {
            check(step, awaitMore(who, timeoutMs), "half a packet");
            available = unread.get(who);
        }
        unread.put(who, java.util.Arrays.copyOfRange(available, size, available.length));
        Packet.Type type = Packet.Type.forCode(ByteBuffer.wrap(available).getInt(4));
        String got = type
                + (size == 12 && (type == null || type.argumentCount() == 0)
                        ? ""
                        : "|" + new String(available, 12, size - 12, StandardCharsets.ISO_8859_1).replace('\0', '|'));
        Matcher matcher = pattern(step, step.text()).matcher(got);
        check(
                step,
                ByteBuffer.wrap(available).getInt(0) == Packet.RESPONSE && matcher.matches(),
                quote(got.getBytes(StandardCharsets.ISO_8859_1)));
        Matcher named = PLACEHOLDER.matcher(step.text());
        while (named.find()) {
            String name = named.group(1);
            if (name != null && !names.containsKey(name)) {
                names.put(name, matcher.group(name));
            }
        }
    }

    private Pattern pattern(Script.Step step, String words) {
        StringBuilder regex = new StringBuilder();
        Matcher matcher =
                Pattern.compile("\\$([a-z][a-z0-9]*)|@([0-9]{1,8})|\\*").matcher(words);
        int literalStart = 0;
        java.util.Set<String> taken = new java.util.HashSet<>();
        while (matcher.find()) {
            regex.append(Pattern.quote(words.substring(literalStart, matcher.start())));
            literalStart = matcher.end();
            String name = matcher.group(1);
            regex.append(
                    matcher.group(2) != null
                            ? "x{" + matcher.group(2) + "}"
                            : name == null
                                    ? ".*"
                                    : names.containsKey(name)
                                            ? Pattern.quote(names.get(name))
                                            : taken.add(name) ? "(?<" + name + ">[^|]*)" : "\\k<" + name + ">");
        }
        return Pattern.compile(
                regex.append(Pattern.quote(words.substring(literalStart))).toString(), Pattern.DOTALL);
    }

    private static String quote(byte[] bytes) {
        String all = new String(bytes, 0, Math.min(bytes.length, 200), StandardCharsets.ISO_8859_1);
        return '"' + all.replace("\0", "\\0").replace("\n", "\\n") + '"';
    }
}
