package plumpost.fleet;

import java.util.ArrayDeque;
import java.util.List;
import plumpost.peers.Host;

/**
 * Discovery for one site: the owner of its duty queries discovery and reports to the fleet, and the others follow those
 * reports. When the last report is older than a maximum age each member queries discovery itself, after an additional
 * delay that differs between members so that they do not all start at once, and stops when the owner's reports are fresh
 * again.
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
    /** Reports of this owner that the log has not applied: proposed in order, one at a time, each until it is applied. */
    private final ArrayDeque<Entry.Word> pendingReports = new ArrayDeque<>();

    DiscoveryRunner(Member member, Host host, String duty, double maxAgeMs) {
        this.member = member;
        this.host = host;
        this.duty = duty;
        this.maxAgeMs = maxAgeMs;
        this.extraDelayMs = maxAgeMs * ((member.name().hashCode() * 0x9E3779B9 >>> 8) / (double) (1 << 24));
        this.lastReportMs = Double.NaN;
    }

    /** A report of the owner of some site's duty was applied. */
    void onReportApplied(Entry.Word report) {
        if (report.duty().equals(duty)) {
            lastReportMs = member.nowMs();
            Entry.Word first = pendingReports.peek();
            if (first != null && first.seq() == report.seq() && first.text().equals(report.text())) {
                pendingReports.poll();
            } else if (!report.text().isEmpty()) {
                host.onNodeListLine(report.text());
            }
            proposeNext();
        }
    }

    /** A snapshot replaced the state: passes all reports in it on again, beginning with the whole list. */
    void restored() {
        List<Entry.Word> reports = duty == null ? List.of() : member.state().discoveryReports(duty);
        if (!reports.isEmpty()) {
            lastReportMs = member.nowMs();
            reports.forEach(report -> host.onNodeListLine(report.text()));
        }
    }

    /** Discovery sent this process a line; the owner of the duty reports it to the fleet. */
    void onDiscoveryLine(String line, long seq, boolean whole) {
        if (duty == null || member.fence(duty) == 0) {
            return;
        }
        if (whole) {
            pendingReports.clear();
        }
        if (line.length() < FleetCodec.MAX_ENTRY_BYTES / 2) {
            pendingReports.add(new Entry.Word(duty, 0, seq, whole, line));
        } else {
            // Not reported: the others query discovery themselves once this owner's last report is too old.
            member.count("discovery_too_long");
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
                                && outcome.detail().startsWith("the whole list")) {
                            pendingReports.clear();
                            host.setDiscoveryQueries(true, true);
                        }
                    });
        }
    }

    /** Starts or stops querying discovery as needed, and proposes what is pending. */
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
            host.setDiscoveryQueries(shouldAsk, false);
        }
        if (!owner) {
            pendingReports.clear();
        } else if (pendingReports.isEmpty()
                && host.discoveryAnswers()
                && nowMs - lastReportMs > maxAgeMs / 3
                && !member.state().discoveryReports(duty).isEmpty()) {
            // An empty report says that the list still holds.
            member.proposeOnce("word", new Entry.Word(duty, member.fence(duty), 0, false, ""), outcome -> {});
        } else {
            proposeNext();
        }
    }
}
