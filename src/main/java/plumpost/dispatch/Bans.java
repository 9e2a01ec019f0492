package plumpost.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The operators' bans: route nodes that get no new work until the ban is lifted, whatever their list says. It also
 * remembers which ids were listed here, so that a call for an unknown node can be rejected. It uses no clock and no
 * I/O; the core applies the results.
 */
public final class Bans {
    /** Listed ids that are remembered; beyond this the oldest is forgotten, so that churn cannot exhaust memory. */
    static final int MAX_REMEMBERED_IDS = 8192;
    /** Maximum length of an id in a call or a handed-over text; more than a node list can name. */
    static final int MAX_ID_LENGTH = 256;

    private final Set<String> banned = new TreeSet<>();
    private final Set<String> listedIds = new LinkedHashSet<>();

    /** Result of a call to ban a node or to lift its ban. */
    public enum BanResult {
        /** The node was already in the requested state. */
        SAME,
        /** This call changed the node's state. */
        CHANGED,
        /** No node with this id was listed here or banned; nothing is changed. */
        UNKNOWN
    }

    /** Remembers a node that a list named. */
    public void recordListed(String id) {
        if (listedIds.remove(id) || listedIds.size() < MAX_REMEMBERED_IDS) {
            listedIds.add(id);
            return;
        }
        Iterator<String> oldest = listedIds.iterator();
        oldest.next();
        oldest.remove();
        listedIds.add(id);
    }

    /** Returns whether an operator has banned the node. */
    public boolean isBanned(String id) {
        return banned.contains(id);
    }

    /** Returns whether a list is remembered to have named the node, or it is banned. */
    public boolean isKnown(String id) {
        return listedIds.contains(id) || banned.contains(id);
    }

    /** Returns the number of banned nodes. */
    public int bannedCount() {
        return banned.size();
    }

    /** Bans a node; a second call for it changes nothing. */
    public BanResult ban(String id) {
        if (banned.contains(id)) {
            return BanResult.SAME;
        }
        if (!listedIds.contains(id)) {
            return BanResult.UNKNOWN;
        }
        banned.add(id);
        return BanResult.CHANGED;
    }

    /** Lifts the ban of a node; one call undoes any number of bans. */
    public BanResult unban(String id) {
        if (banned.remove(id)) {
            return BanResult.CHANGED;
        }
        return listedIds.contains(id) ? BanResult.SAME : BanResult.UNKNOWN;
    }

    /** Returns the bans as text to hand over: one id per line, sorted, so that equal sets give equal texts. */
    public String text() {
        StringBuilder text = new StringBuilder();
        banned.forEach(id -> text.append(id).append('\n'));
        return text.toString();
    }

    /**
     * Replaces these bans by those that another process of this scheduler wrote; returns the ids whose state changed.
     * Lines that are no valid id (empty, too long, with spaces or control bytes) are skipped.
     */
    public List<String> adopt(String text) {
        Set<String> adopted = new TreeSet<>();
        for (String line : text.split("\n", -1)) {
            if (isId(line)) {
                adopted.add(line);
            }
        }
        List<String> changed = new ArrayList<>();
        for (String id : banned) {
            if (!adopted.contains(id)) {
                changed.add(id);
            }
        }
        for (String id : adopted) {
            if (!banned.contains(id)) {
                changed.add(id);
            }
            recordListed(id); // a ban that was handed over makes the id known here, so that it can be lifted
        }
        banned.clear();
        banned.addAll(adopted);
        return changed;
    }

    /** Returns whether a text is a valid node id: 1 to 256 visible ASCII characters. */
    public static boolean isId(String text) {
        if (text.isEmpty() || text.length() > MAX_ID_LENGTH) {
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
