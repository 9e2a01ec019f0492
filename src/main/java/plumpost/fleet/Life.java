package plumpost.fleet;

import java.util.List;
import plumpost.config.PeersConfig;
import plumpost.fleet.Entry.Offer;
import plumpost.peers.Host;

/**
 * A scheduler's life in the fleet: joined as an incarnation, heard by the leader at intervals, with a lease that ends
 * within two thirds of {@code lostMs} of the last beat that was answered. When it is over the next one is joined.
 */
final class Life {
    /** A join that was not answered is proposed again, and a change of functions is told, no sooner than this. */
    private static final double JOIN_MS = 500;

    private static final double SERVES_MS = 250;
    private static final int MOST_FUNCTIONS = 1024;

    private final Member member;
    private final Host host;
    private final PeersConfig config;
    private final String nonce;
    private final String disk;
    private final List<Offer> offers;
    private long incarnation;
    private boolean joining;
    private double joinAt;
    private double beatAt;
    private double leaseEnd;
    private double heardAt;
    private List<String> served = List.of();
    private double servesAt;

    Life(Member member, Host host, PeersConfig config, String nonce, String disk, List<Offer> offers) {
        this.member = member;
        this.host = host;
        this.config = config;
        this.nonce = nonce;
        this.disk = disk;
        this.offers = List.copyOf(offers);
    }

    /** Its number, or 0 between two lives. */
    long incarnation() {
        return incarnation;
    }

    /** Whether it goes on as far as it knows: a leader has heard it within its lease. */
    boolean holds(double nowMs) {
        return incarnation > 0 && nowMs < leaseEnd;
    }

    /** Joins, or lets the leader hear it, when it is time. */
    void step(double now) {
        if (incarnation == 0) {
            if (!joining && !member.stopping() && now >= joinAt) {
                join();
            }
        } else if (now >= beatAt) {
            beatAt = now + config.beatMs();
            long life = incarnation;
            member.log().beat(config.self().name(), life, now - heardAt, heard -> heard(life, now, heard));
        }
    }

    private void join() {
        joining = true;
        member.log()
                .propose(
                        new Entry.Join(
                                config.self().name(),
                                config.self().site(),
                                disk,
                                config.self().vote(),
                                nonce,
                                FleetCodec.FORMAT,
                                offers),
                        o -> {
                            joining = false;
                            joinAt = member.nowMs() + JOIN_MS;
                            if (o != null && o.done()) {
                                incarnation = o.number();
                                heardAt = member.nowMs();
                                served = List.of();
                                member.count("joined");
                                member.say("joined as incarnation " + incarnation);
                            } else if (o != null) {
                                member.halted(o.words());
                            }
                        });
    }

    private void heard(long life, double sent, Boolean heard) {
        if (life != incarnation || heard == null) {
            return;
        }
        if (heard) {
            heardAt = member.nowMs();
            leaseEnd = Math.max(leaseEnd, sent + config.lostMs() * 2 / 3);
        } else {
            member.over("the fleet took it for lost");
        }
    }

    /** It is over; the next one is joined at once. */
    void end() {
        incarnation = 0;
        leaseEnd = 0;
        joinAt = member.nowMs();
    }

    /** Tells which functions have workers here, where that has changed. */
    void serves(double now) {
        List<String> functions = now < servesAt
                ? served
                : host.functions().stream().sorted().limit(MOST_FUNCTIONS).toList();
        if (!functions.equals(served)) {
            servesAt = now + SERVES_MS;
            member.once("serves", new Entry.Serves(config.self().name(), incarnation, functions), o -> {
                if (o != null && o.done()) {
                    served = functions;
                }
            });
        }
    }
}
