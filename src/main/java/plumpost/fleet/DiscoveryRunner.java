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
    private final double maxAgeMs;
    private final double extraDelayMs;
    private double lastReportMs;
    private boolean asking;
    private boolean started;
    /** What discovery told this owner and the log has not: told in order, one at a time, each until it is applied. */
    private final ArrayDeque<Entry.Word> pendingReports = new ArrayDeque<>();

    DiscoveryRunner(Member member, Host host, String duty, double maxAgeMs) {
        this.member = member;
        this.host = host;
        this.duty = duty;
        this.maxAgeMs = maxAgeMs;
        this.extraDelayMs = maxAgeMs * ((member.name().hashCode() * 0x9E3779B9 >>> 8) / (double) (1 << 24));
        this.lastReportMs = Double.NaN;
    }

    /** A word of some site's owner was applied. */
    void onReportApplied(Entry.Word report) {
        if (report.duty().equals(duty)) {
            lastReportMs = member.nowMs();
            Entry.Word first = pendingReports.peek();
            if (first != null && first.seq() == report.seq() && first.text().equals(report.text())) {
                pendingReports.poll();
            } else if (!report.text().isEmpty()) {
                host.told(report.text());
            }
            proposeNext();
        }
    }

    /** A snapshot took the place of entries: the words in it are told again from the whole on. */
    void restored() {
        List<Entry.Word> reports = duty == null ? List.of() : member.state().discoveryReports(duty);
        if (!reports.isEmpty()) {
            lastReportMs = member.nowMs();
            reports.forEach(report -> host.told(report.text()));
        }
    }

    /** Discovery itself told this process something. */
    void onDiscoveryLine(String line, long seq, boolean whole) {
        if (duty == null || member.fence(duty) == 0) {
            return;
        }
        if (whole) {
            pendingReports.clear();
        }
        if (line.length() < FleetCodec.MOST_BYTES / 2) {
            pendingReports.add(new Entry.Word(duty, 0, seq, whole, line));
        } else {
            member.count("discovery_too_long"); // each asks itself, when this owner's word is old
        }
        proposeNext();
    }

    private void proposeNext() {
        Entry.Word report = pendingReports.peek();
        long fence = member.fence(duty);
        if (report != null && fence > 0) {
            member.proposeOnce(
                    "word " + report.seq(),
                    new Entry.Word(duty, fence, report.seq(), report.whole(), report.text()),
                    outcome -> {
                        if (outcome != null
                                && !outcome.done()
                                && outcome.words().startsWith("the whole list")) {
                            pendingReports.clear();
                            host.ask(true, true);
                        }
                    });
        }
    }

    void poll() {
        if (duty == null) {
            return;
        }
        double nowMs = member.nowMs();
        if (!started) {
            started = true;
            lastReportMs = nowMs;
        }
        boolean owner = member.fence(duty) > 0;
        boolean expired = nowMs - lastReportMs > maxAgeMs + extraDelayMs;
        boolean shouldAsk = owner || expired;
        if (shouldAsk != asking) {
            asking = shouldAsk;
            member.count(shouldAsk ? "discovery_asked" : "discovery_followed");
            host.ask(shouldAsk, false);
        }
        if (!owner) {
            pendingReports.clear();
        } else if (pendingReports.isEmpty()
                && host.hears()
                && nowMs - lastReportMs > maxAgeMs / 3
                && !member.state().discoveryReports(duty).isEmpty()) {
            member.proposeOnce(
                    "word", new Entry.Word(duty, member.fence(duty), 0, false, ""), outcome -> {}); // it still holds
        } else {
            proposeNext();
        }
    }
}
