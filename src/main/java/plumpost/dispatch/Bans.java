package plumpost.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The operators' bans: route nodes taken out by hand, whatever the list says of them, until they are called back.
 * It also knows which ids were ever listed here, since a call about a node that nobody has heard of is owed a no.
 * Pure: no clock, no I/O; the core applies what it says.
 */
public final class Bans {
    /** Ids remembered as once listed; beyond this the oldest are forgotten, so that churn cannot fill the memory. */
    static final int REMEMBERED = 8192;
    /** Longest id taken in a call or a handed-over text: what a list can name, with room. */
    static final int LONGEST_ID = 256;

    private final Set<String> out = new TreeSet<>();
    private final Set<String> seen = new LinkedHashSet<>();

    /** What a call about a node came to. */
    public enum Said {
        /** The node is out now (or in again); it was so already. */
        SAME,
        /** The node is out now (or in again), and this call changed that. */
        CHANGED,
        /** No node of this id was listed here or banned: nothing is changed. */
        UNKNOWN
    }

    /** The list named a node. */
    public void saw(String id) {
        if (seen.remove(id) || seen.size() < REMEMBERED) {
            seen.add(id);
            return;
        }
        Iterator<String> oldest = seen.iterator();
        oldest.next();
        oldest.remove();
        seen.add(id);
    }

    /** Whether the node is out by hand. */
    public boolean out(String id) {
        return out.contains(id);
    }

    /** Whether the list ever named the node, or somebody banned it. */
    public boolean known(String id) {
        return seen.contains(id) || out.contains(id);
    }

    /** How many nodes are out. */
    public int size() {
        return out.size();
    }

    /** Takes a node out; a second call for it changes nothing. */
    public Said ban(String id) {
        if (out.contains(id)) {
            return Said.SAME;
        }
        if (!seen.contains(id)) {
            return Said.UNKNOWN;
        }
        out.add(id);
        return Said.CHANGED;
    }

    /** Calls a node back: one call undoes however many calls out. */
    public Said lift(String id) {
        if (out.remove(id)) {
            return Said.CHANGED;
        }
        return seen.contains(id) ? Said.SAME : Said.UNKNOWN;
    }

    /** The bans as text to hand over: one id a line, sorted, so that equal sets give equal texts. */
    public String text() {
        StringBuilder b = new StringBuilder();
        out.forEach(id -> b.append(id).append('\n'));
        return b.toString();
    }

    /**
     * Takes over the bans that another process of this scheduler wrote, in place of these; returns the ids whose state
     * changed. Lines that no id can be (empty, too long, with spaces or control bytes) are passed over.
     */
    public List<String> adopt(String text) {
        Set<String> now = new TreeSet<>();
        for (String line : text.split("\n", -1)) {
            if (isId(line)) {
                now.add(line);
            }
        }
        List<String> changed = new ArrayList<>();
        for (String id : out) {
            if (!now.contains(id)) {
                changed.add(id);
            }
        }
        for (String id : now) {
            if (!out.contains(id)) {
                changed.add(id);
            }
            saw(id); // one handed over as banned is known here too, so that its call back is owed a yes
        }
        out.clear();
        out.addAll(now);
        return changed;
    }

    /** Whether a text can be a node's id: 1 to 256 visible ASCII characters. */
    public static boolean isId(String text) {
        if (text.isEmpty() || text.length() > LONGEST_ID) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= ' ' || c > '~') {
                return false;
            }
        }
        return true;
    }
}
