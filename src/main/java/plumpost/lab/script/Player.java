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
 * Plays Gearman steps on a rig. In words, {@code TYPE|argument|argument} is a packet, {@code text:} an admin's line,
 * {@code "..."} raw bytes, {@code @70000} so many letters x, {@code $name} what that name stands for. In what is
 * expected {@code *} is anything, an unknown {@code $name} takes what stands there, and {@code closed} and
 * {@code nothing} are what they say.
 */
public final class Player {
    /** A step that went otherwise than expected. */
    public static final class Failed extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Failed(String words) {
            super(words, null, false, false);
        }
    }

    private static final double QUIET_MS = 60;
    private static final Pattern NAMED = Pattern.compile("\\$([a-z][a-z0-9]*)|@([0-9]{1,8})");

    private final Rig rig;
    private final double patienceMs;
    private final Map<String, String> names;
    private final Map<String, byte[]> unread = new HashMap<>();

    /** A player that waits so long for what is expected, with some names given. */
    public Player(Rig rig, double patienceMs, Map<String, String> names) {
        this.rig = rig;
        this.patienceMs = patienceMs;
        this.names = new HashMap<>(names);
    }

    /** Plays a step; throws {@link Failed}. */
    public void play(Script.Step step) {
        switch (step.verb()) {
            case SEND -> rig.send(step.who(), bytes(step));
            case EXPECT -> expect(step);
            case CLOSE -> rig.close(step.who());
            case PASS -> rig.pass(Double.parseDouble(step.words()));
            default -> throw new Failed(step.place() + ": " + step.verb() + " is not for Gearman peers");
        }
    }

    private String filled(Script.Step step, String words) {
        Matcher m = NAMED.matcher(words);
        StringBuilder all = new StringBuilder();
        while (m.find()) {
            String value = m.group(2) != null ? "x".repeat(Integer.parseInt(m.group(2))) : names.get(m.group(1));
            if (value == null) {
                throw new Failed(step.place() + ": $" + m.group(1) + " stands for nothing yet");
            }
            m.appendReplacement(all, Matcher.quoteReplacement(value));
        }
        return m.appendTail(all).toString();
    }

    private static String raw(String words) {
        return words.substring(1, words.length() - 1).translateEscapes();
    }

    private byte[] bytes(Script.Step step) {
        String words = step.words();
        if (words.startsWith("\"")) {
            return raw(filled(step, words)).getBytes(StandardCharsets.ISO_8859_1);
        }
        if (words.startsWith("text:")) {
            return (filled(step, words).substring(5) + "\n").getBytes(StandardCharsets.UTF_8);
        }
        String[] p = filled(step, words).split("\\|", -1);
        Packet.Type type;
        try {
            type = Packet.Type.valueOf(p[0]);
        } catch (IllegalArgumentException e) {
            throw new Failed(step.place() + ": no packet type " + p[0]);
        }
        Object[] arguments = new Object[p.length - 1];
        System.arraycopy(p, 1, arguments, 0, arguments.length);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (ByteBuffer b : Packet.bytes(Packet.REQUEST, type, arguments)) {
            byte[] some = b == null ? new byte[0] : new byte[b.remaining()];
            if (b != null) {
                b.get(some);
            }
            all.writeBytes(some);
        }
        return all.toByteArray();
    }

    // ---- what is expected ----

    private void expect(Script.Step step) {
        String words = step.words();
        switch (words) {
            case "nothing" -> {
                String more = more(step.who(), QUIET_MS) ? shown(unread.get(step.who())) : "nothing";
                check(step, more.equals("nothing"), more);
            }
            case "closed" -> {
                while (more(step.who(), patienceMs)) {
                    check(step, unread.get(step.who()).length == 0, shown(unread.get(step.who())));
                }
                check(step, rig.take(step.who(), 0) == null, "an open connection");
            }
            default -> {
                if (words.startsWith("\"")) {
                    text(step);
                } else {
                    packet(step);
                }
            }
        }
    }

    private static void check(Script.Step step, boolean holds, String got) {
        if (!holds) {
            throw new Failed(step.place() + ": " + step.who() + " expects " + step.words() + " and gets " + got);
        }
    }

    /** Waits for unread bytes; true if there are any. */
    private boolean more(String who, double ms) {
        byte[] have = unread.getOrDefault(who, new byte[0]);
        if (have.length > 0) {
            return true;
        }
        return grow(who, ms) && unread.get(who).length > 0;
    }

    /** Waits for further bytes; false if none came. */
    private boolean grow(String who, double ms) {
        byte[] fresh = rig.take(who, ms);
        if (fresh == null || fresh.length == 0) {
            return false;
        }
        byte[] have = unread.getOrDefault(who, new byte[0]);
        byte[] all = java.util.Arrays.copyOf(have, have.length + fresh.length);
        System.arraycopy(fresh, 0, all, have.length, fresh.length);
        unread.put(who, all);
        return true;
    }

    private void text(Script.Step step) {
        Pattern wanted = pattern(step, raw(step.words()));
        do {
            String got = new String(unread.getOrDefault(step.who(), new byte[0]), StandardCharsets.ISO_8859_1);
            if (wanted.matcher(got).matches()) {
                unread.remove(step.who());
                return;
            }
        } while (grow(step.who(), patienceMs));
        check(step, false, shown(unread.getOrDefault(step.who(), new byte[0])));
    }

    private void packet(Script.Step step) {
        String who = step.who();
        int size = 12;
        for (byte[] have = unread.getOrDefault(who, new byte[0]);
                have.length < size;
                have = unread.getOrDefault(who, new byte[0])) {
            size = have.length < 12 ? 12 : 12 + ByteBuffer.wrap(have).getInt(8);
            if (have.length < size && !grow(who, patienceMs)) {
                check(step, false, have.length == 0 ? "nothing" : shown(have));
            }
        }
        byte[] have = unread.get(who);
        size = 12 + ByteBuffer.wrap(have).getInt(8);
        while (have.length < size) {
            check(step, grow(who, patienceMs), "half a packet");
            have = unread.get(who);
        }
        unread.put(who, java.util.Arrays.copyOfRange(have, size, have.length));
        Packet.Type type = Packet.Type.of(ByteBuffer.wrap(have).getInt(4));
        String got = type
                + (size == 12 && (type == null || type.arguments() == 0)
                        ? ""
                        : "|" + new String(have, 12, size - 12, StandardCharsets.ISO_8859_1).replace('\0', '|'));
        Matcher m = pattern(step, step.words()).matcher(got);
        check(
                step,
                ByteBuffer.wrap(have).getInt(0) == Packet.RESPONSE && m.matches(),
                shown(got.getBytes(StandardCharsets.ISO_8859_1)));
        Matcher named = NAMED.matcher(step.words());
        while (named.find()) {
            String n = named.group(1);
            if (n != null && !names.containsKey(n)) {
                names.put(n, m.group(n));
            }
        }
    }

    private Pattern pattern(Script.Step step, String words) {
        StringBuilder regex = new StringBuilder();
        Matcher m = Pattern.compile("\\$([a-z][a-z0-9]*)|@([0-9]{1,8})|\\*").matcher(words);
        int at = 0;
        java.util.Set<String> taken = new java.util.HashSet<>();
        while (m.find()) {
            regex.append(Pattern.quote(words.substring(at, m.start())));
            at = m.end();
            String n = m.group(1);
            regex.append(
                    m.group(2) != null
                            ? "x{" + m.group(2) + "}"
                            : n == null
                                    ? ".*"
                                    : names.containsKey(n)
                                            ? Pattern.quote(names.get(n))
                                            : taken.add(n) ? "(?<" + n + ">[^|]*)" : "\\k<" + n + ">");
        }
        return Pattern.compile(regex.append(Pattern.quote(words.substring(at))).toString(), Pattern.DOTALL);
    }

    private static String shown(byte[] bytes) {
        String all = new String(bytes, 0, Math.min(bytes.length, 200), StandardCharsets.ISO_8859_1);
        return '"' + all.replace("\0", "\\0").replace("\n", "\\n") + '"';
    }
}
