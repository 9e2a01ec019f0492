package plumpost.fleet;

import java.util.ArrayDeque;
import java.util.List;
import plumpost.peers.Host;

/**
 * Discovery for one site: its duty's owner asks it and tells the fleet its word, the others follow that word. Where it is
 * older than a stated age each asks itself, after a delay of its own so that they do not all come at once, and stops when
 * the owner's word is fresh again.
 */
final class DiscoveryRunner {
    private final Member member;
    private final Host host;
    private final String duty;
    private final double ageMs;
    private final double spreadMs;
    private double wordAt;
    private boolean asks;
    private boolean began;
    /** What discovery told this owner and the log has not: told in order, one at a time, each until it is applied. */
    private final ArrayDeque<Entry.Word> untold = new ArrayDeque<>();

    DiscoveryRunner(Member member, Host host, String duty, double ageMs) {
        this.member = member;
        this.host = host;
        this.duty = duty;
        this.ageMs = ageMs;
        this.spreadMs = ageMs * ((member.name().hashCode() * 0x9E3779B9 >>> 8) / (double) (1 << 24));
        this.wordAt = Double.NaN;
    }

    /** A word of some site's owner was applied. */
    void told(Entry.Word w) {
        if (w.duty().equals(duty)) {
            wordAt = member.nowMs();
            Entry.Word first = untold.peek();
            if (first != null && first.seq() == w.seq() && first.text().equals(w.text())) {
                untold.poll();
            } else if (!w.text().isEmpty()) {
                host.told(w.text());
            }
            tell();
        }
    }

    /** A snapshot took the place of entries: the words in it are told again from the whole on. */
    void restored() {
        List<Entry.Word> words = duty == null ? List.of() : member.view().words(duty);
        if (!words.isEmpty()) {
            wordAt = member.nowMs();
            words.forEach(w -> host.told(w.text()));
        }
    }

    /** Discovery itself told this process something. */
    void heard(String line, long seq, boolean whole) {
        if (duty == null || member.fence(duty) == 0) {
            return;
        }
        if (whole) {
            untold.clear();
        }
        if (line.length() < FleetCodec.MOST_BYTES / 2) {
            untold.add(new Entry.Word(duty, 0, seq, whole, line));
        } else {
            member.count("discovery_too_long"); // each asks itself, when this owner's word is old
        }
        tell();
    }

    private void tell() {
        Entry.Word w = untold.peek();
        long fence = member.fence(duty);
        if (w != null && fence > 0) {
            member.once("word " + w.seq(), new Entry.Word(duty, fence, w.seq(), w.whole(), w.text()), o -> {
                if (o != null && !o.done() && o.words().startsWith("the whole list")) {
                    untold.clear();
                    host.ask(true, true);
                }
            });
        }
    }

    void look() {
        if (duty == null) {
            return;
        }
        double now = member.nowMs();
        if (!began) {
            began = true;
            wordAt = now;
        }
        boolean owner = member.fence(duty) > 0;
        boolean old = now - wordAt > ageMs + spreadMs;
        boolean should = owner || old;
        if (should != asks) {
            asks = should;
            member.count(should ? "discovery_asked" : "discovery_followed");
            host.ask(should, false);
        }
        if (!owner) {
            untold.clear();
        } else if (untold.isEmpty()
                && host.hears()
                && now - wordAt > ageMs / 3
                && !member.view().words(duty).isEmpty()) {
            member.once("word", new Entry.Word(duty, member.fence(duty), 0, false, ""), o -> {}); // it still holds
        } else {
            tell();
        }
    }
}
