package plumpost.fleet;

import java.util.List;
import plumpost.config.PeersConfig;
import plumpost.fleet.Entry.Offer;
import plumpost.peers.Host;

/**
 * Keeps a session of this scheduler in the fleet: joins as an incarnation and sends the leader heartbeats. The lease ends
 * two thirds of {@code lostMs} after the sending of the last heartbeat that was answered. When a session has ended the
 * next one is joined.
 */
final class SessionRunner {
    /** A join is not proposed again, and a change of functions is not reported again, sooner than these intervals. */
    private static final double JOIN_RETRY_MS = 500;

    private static final double FUNCTIONS_REPORT_MS = 250;
    private static final int MAX_FUNCTIONS = 1024;

    private final Member member;
    private final Host host;
    private final PeersConfig config;
    private final String nonce;
    private final String directoryId;
    private final List<Offer> offers;
    private long incarnation;
    private boolean joining;
    private double nextJoinMs;
    private double nextHeartbeatMs;
    private double leaseEndMs;
    private double lastHeardMs;
    private List<String> reportedFunctions = List.of();
    private double nextFunctionsReportMs;

    SessionRunner(Member member, Host host, PeersConfig config, String nonce, String directoryId, List<Offer> offers) {
        this.member = member;
        this.host = host;
        this.config = config;
        this.nonce = nonce;
        this.directoryId = directoryId;
        this.offers = List.copyOf(offers);
    }

    /** The incarnation of the present session, or 0 between two sessions. */
    long incarnation() {
        return incarnation;
    }

    /** Whether the session runs as far as this process knows: a leader has received its heartbeat within the lease. */
    boolean holdsLease(double nowMs) {
        return incarnation > 0 && nowMs < leaseEndMs;
    }

    /** Joins, or sends a heartbeat, when it is time. */
    void tick(double nowMs) {
        if (incarnation == 0) {
            if (!joining && !member.stopping() && nowMs >= nextJoinMs) {
                join();
            }
        } else if (nowMs >= nextHeartbeatMs) {
            nextHeartbeatMs = nowMs + config.heartbeatMs();
            long currentIncarnation = incarnation;
            member.log()
                    .sendHeartbeat(
                            config.self().name(),
                            currentIncarnation,
                            nowMs - lastHeardMs,
                            received -> onHeartbeatReply(currentIncarnation, nowMs, received));
        }
    }

    private void join() {
        joining = true;
        member.log()
                .propose(
                        new Entry.Join(
                                config.self().name(),
                                config.self().site(),
                                directoryId,
                                config.self().vote(),
                                nonce,
                                FleetCodec.FORMAT,
                                offers),
                        outcome -> {
                            joining = false;
                            nextJoinMs = member.nowMs() + JOIN_RETRY_MS;
                            if (outcome != null && outcome.done()) {
                                incarnation = outcome.number();
                                lastHeardMs = member.nowMs();
                                reportedFunctions = List.of();
                                member.count("joined");
                                member.logLine("joined as incarnation " + incarnation);
                            } else if (outcome != null) {
                                member.halted(outcome.detail());
                            }
                        });
    }

    private void onHeartbeatReply(long heartbeatIncarnation, double sentMs, Boolean received) {
        if (heartbeatIncarnation != incarnation || received == null) {
            return;
        }
        if (received) {
            lastHeardMs = member.nowMs();
            leaseEndMs = Math.max(leaseEndMs, sentMs + config.sessionTimeoutMs() * 2 / 3);
        } else {
            member.sessionEnded("the leader reports that it has ended");
        }
    }

    /** Forgets the session, which has ended; the next one is joined at once. */
    void reset() {
        incarnation = 0;
        leaseEndMs = 0;
        nextJoinMs = member.nowMs();
    }

    /** Reports which functions have workers here, if that has changed. */
    void reportFunctions(double nowMs) {
        List<String> functions = nowMs < nextFunctionsReportMs
                ? reportedFunctions
                : host.functions().stream().sorted().limit(MAX_FUNCTIONS).toList();
        if (!functions.equals(reportedFunctions)) {
            nextFunctionsReportMs = nowMs + FUNCTIONS_REPORT_MS;
            member.proposeOnce("serves", new Entry.Serves(config.self().name(), incarnation, functions), outcome -> {
                if (outcome != null && outcome.done()) {
                    reportedFunctions = functions;
                }
            });
        }
    }
}
