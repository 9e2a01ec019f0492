package plumpost.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import plumpost.fleet.Entry.Offer;
import plumpost.fleet.Entry.Verdict;

/** The fleet's replicated state, its encoding, and the leader's failure detector. */
class FleetStateTest {
    private final FleetState state = new FleetState();
    private final List<FleetEvent> events = new ArrayList<>();

    private Outcome apply(Entry entry) {
        return state.apply(entry, 7, events);
    }

    private long join(String name, String site, String nonce) {
        return apply(new Entry.Join(
                        name,
                        site,
                        "disk-" + name,
                        true,
                        nonce,
                        1,
                        List.of(
                                new Offer("schedule", ""),
                                new Offer("discovery/north", "north"),
                                new Offer("discovery/south", "south"))))
                .number();
    }

    private String owner(String duty) {
        return state.duties().find(duty).owner();
    }

    /** Duties go to their site first, then to the least loaded; they are sticky, and every change raises the fence. */
    @Test
    void dutiesPreferTheirSiteStayWithTheirOwnerAndAreBalanced() {
        long a = join("a", "north", "1");
        assertThat(owner("schedule") + owner("discovery/north") + owner("discovery/south"))
                .isEqualTo("aaa");
        long fence = state.duties().find("discovery/south").fence();
        long b = join("b", "south", "1");
        assertThat(owner("discovery/south")).isEqualTo("b");
        assertThat(state.duties().find("discovery/south").fence()).isGreaterThan(fence);
        join("c", "north", "1");
        assertThat(owner("schedule") + owner("discovery/north"))
                .as("a difference of two moves one duty")
                .contains("c")
                .contains("a");
        String before = state.duties().all().toString();
        join("d", "north", "1");
        assertThat(state.duties().all().toString()).as("sticky").isEqualTo(before);
        apply(new Entry.Leave("b", b, false));
        assertThat(state.sessions().live("b", b))
                .as("a leaving session finishes its work")
                .isTrue();
        assertThat(owner("discovery/south")).isEqualTo("d");
        assertThat(join("a", "north", "1")).as("the same process joins once").isEqualTo(a);
        assertThat(join("a", "north", "2")).isGreaterThan(a);
    }

    /** A leader that was suspended and replaced meanwhile proposes verdicts under its old term, which must be refused. */
    @Test
    void verdictsOfAnOldTermAreRefused() {
        long a = join("a", "north", "1");
        assertThat(apply(new Entry.Judge("a", a, Verdict.LOST, 6)).done()).isFalse();
        assertThat(apply(new Entry.Judge("a", a, Verdict.SUSPECT, 7)).done()).isTrue();
        assertThat(owner("schedule")).as("a suspect session keeps its duties").isEqualTo("a");
        assertThat(apply(new Entry.Judge("a", a, Verdict.LOST, 7)).done()).isTrue();
        assertThat(owner("schedule")).isEmpty();
        assertThat(apply(new Entry.Judge("a", a, Verdict.ALIVE, 7)).done())
                .as("a lost session stays lost")
                .isFalse();
    }

    /** Entries of an owner count only under its present fence, and a removed data directory cannot join again. */
    @Test
    void oldFencesAndRemovedDataDirectoriesAreRefused() {
        join("a", "north", "1");
        join("b", "north", "1");
        Duties.Duty duty = state.duties().find("discovery/north");
        assertThat(apply(new Entry.Word(duty.name(), duty.fence(), 1, false, "x"))
                        .detail())
                .contains("whole list");
        assertThat(apply(new Entry.Word(duty.name(), duty.fence(), 1, true, "w"))
                        .done())
                .isTrue();
        assertThat(apply(new Entry.Yield(duty.name(), duty.fence())).done()).isTrue();
        assertThat(apply(new Entry.Word(duty.name(), duty.fence(), 2, true, "late"))
                        .detail())
                .contains("is old");
        assertThat(apply(new Entry.Yield(duty.name(), duty.fence())).done()).isFalse();
        assertThat(state.discoveryReports(duty.name()))
                .extracting(Entry.Word::text)
                .containsExactly("w");
        apply(new Entry.Remove("a"));
        assertThat(apply(new Entry.Join("a", "north", "disk-a", true, "9", 1, List.of()))
                        .detail())
                .contains("removed");
        assertThat(apply(new Entry.Remove("z")).detail()).contains("no scheduler z");
        assertThat(events).filteredOn(n -> n instanceof FleetEvent.EntryRefused).hasSize(5);
    }

    /**
     * Jobs with equal keys are one job. When a session is lost its fired jobs go on elsewhere, and of its begun jobs the
     * repeatable ones wait again and the others are given up.
     */
    @Test
    void plannedJobsOfALostSessionAreReassignedOrGivenUp() {
        long a = join("a", "north", "1");
        long b = join("b", "north", "1");
        long fence = state.duties().find("schedule").fence();
        for (String id : List.of("told", "begun", "again")) {
            apply(new Entry.Plan(id, "f", "key-" + id, new byte[3], 5, id.equals("again")));
            assertThat(apply(new Entry.Fire(id, fence, "a", a)).done()).isTrue();
        }
        assertThat(apply(new Entry.Plan("other", "f", "key-told", new byte[3], 9, false))
                        .detail())
                .isEqualTo("told");
        apply(new Entry.Begin("begun", "a", a));
        apply(new Entry.Begin("again", "a", a));
        assertThat(apply(new Entry.CallOff("begun")).done()).isFalse();
        apply(new Entry.Judge("a", a, Verdict.LOST, 7));
        assertThat(state.plannedJobs().givenUp()).containsExactly("begun");
        assertThat(apply(new Entry.Begin("told", "a", a)).done())
                .as("a lost session begins nothing")
                .isFalse();
        fence = state.duties().find("schedule").fence();
        assertThat(apply(new Entry.Fire("told", fence, "b", b)).done()).isTrue();
        assertThat(apply(new Entry.Begin("told", "b", b)).done()).isTrue();
        assertThat(apply(new Entry.Begin("told", "b", b)).done())
                .as("a begin is granted once")
                .isFalse();
        assertThat(apply(new Entry.End("told", "b", b, false)).done()).isTrue();
        assertThat(apply(new Entry.End("told", "b", b, false)).done()).isFalse();
        assertThat(state.plannedJobs().all()).extracting(PlannedJobs.Job::id).containsExactly("again");
    }

    /** Snapshots and entries round-trip; those of a newer format and damaged ones are refused with a message. */
    @Test
    void snapshotsAndEntriesRoundTripAndNewerOrDamagedOnesAreRefused() throws Exception {
        plannedJobsOfALostSessionAreReassignedOrGivenUp();
        apply(new Entry.Ban("n1", true));
        ByteArrayOutputStream snapshot = new ByteArrayOutputStream();
        FleetCodec.writeSnapshot(state, snapshot);
        FleetState other = new FleetState();
        other.restore(FleetCodec.readSnapshot(new ByteArrayInputStream(snapshot.toByteArray())));
        ByteArrayOutputStream secondSnapshot = new ByteArrayOutputStream();
        FleetCodec.writeSnapshot(other, secondSnapshot);
        assertThat(secondSnapshot.toByteArray()).isEqualTo(snapshot.toByteArray());
        long fence = other.duties().find("schedule").fence();
        other.apply(new Entry.Yield("schedule", fence), 7, events);
        other.apply(new Entry.Join("n", "north", "d", true, "1", 1, List.of(new Offer("new", ""))), 7, events);
        assertThat(other.duties().find("new").fence()).as("no fence is reused").isGreaterThan(fence);
        byte[] encoded = FleetCodec.encode(new Entry.Ban("n1", true), 1);
        assertThat(FleetCodec.decodeEntry(encoded)).isEqualTo(new Entry.Ban("n1", true));
        byte[] newer = encoded.clone();
        newer[1] = (byte) (FleetCodec.FORMAT + 1);
        assertThatThrownBy(() -> FleetCodec.decodeEntry(newer))
                .hasMessageContaining("record format " + (FleetCodec.FORMAT + 1));
        byte[] newerSnapshot = snapshot.toByteArray();
        newerSnapshot[1] = 9;
        assertThatThrownBy(() -> FleetCodec.readSnapshot(new ByteArrayInputStream(newerSnapshot)))
                .hasMessageContaining("format 9");
        assertThatThrownBy(() -> FleetCodec.decodeEntry(Arrays.copyOf(encoded, encoded.length - 1)))
                .isInstanceOf(FleetCodec.UnreadableException.class);
    }

    /** The record format rises once all members read it and never falls; a program that does not read it cannot join. */
    @Test
    void theFormatIsRaisedOnceEveryMemberReadsIt() {
        join("a", "north", "1");
        apply(new Entry.Join("b", "north", "disk-b", true, "1", 2, List.of()));
        assertThat(apply(new Entry.Raise(2)).detail()).contains("not read by all, 1 is");
        long a = apply(new Entry.Join("a", "north", "disk-a", true, "2", 3, List.of()))
                .number();
        assertThat(apply(new Entry.Raise(2)).done()).isTrue();
        apply(new Entry.Raise(1));
        assertThat(state.sessions().format()).isEqualTo(2);
        assertThat(apply(new Entry.Join("c", "north", "disk-c", true, "1", 1, List.of()))
                        .detail())
                .contains("writes record format 2, the program of c reads 1 to 1");
        assertThat(state.sessions().live("a", a)).isTrue();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        FleetCodec.writeSnapshot(state, out);
        assertThat(out.toByteArray()[1]).as("the snapshot's format").isEqualTo((byte) 2);
    }

    /** Whatever the bytes are, the decoder returns an entry or throws an error with a message. */
    @Property(tries = 300)
    void arbitraryBytesDecodeOrFailAsUnreadable(@ForAll byte[] randomBytes, @ForAll int seed) {
        Random random = new Random(seed);
        byte[] corrupted = FleetCodec.encode(new Entry.Plan("i", "f", "u", new byte[9], 1, true), 1);
        for (int n = random.nextInt(4); n >= 0; n--) {
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
        }
        for (byte[] bytes : List.of(randomBytes, corrupted)) {
            try {
                assertThat(FleetCodec.decodeEntry(bytes)).isNotNull();
            } catch (FleetCodec.UnreadableException failure) {
                assertThat(failure.getMessage()).isNotEmpty();
            }
        }
    }

    /** A new leader, or one that was suspended, must not mark sessions as lost for heartbeats that it could not receive. */
    @Test
    void aLeaderThatWasSuspendedCountsSilenceAnew() {
        long a = join("a", "north", "1");
        HeartbeatMonitor monitor = new HeartbeatMonitor(1000, 1500, 500);
        assertThat(monitor.check(state.sessions().all(), 7, 50_000)).isEmpty();
        for (double now = 50_100; now < 50_900; now += 100) {
            assertThat(monitor.check(state.sessions().all(), 7, now)).isEmpty();
        }
        monitor.recordHeartbeat("a", a, 50_900, 0);
        assertThat(monitor.check(state.sessions().all(), 7, 51_000)).isEmpty();
        assertThat(monitor.check(state.sessions().all(), 7, 90_000))
                .as("suspended for 39 s")
                .isEmpty();
        List<Entry> proposals = new ArrayList<>();
        for (double now = 90_100; now <= 91_500 && proposals.size() < 2; now += 100) {
            proposals = monitor.check(state.sessions().all(), 7, now);
            proposals.forEach(this::apply);
            proposals.stream()
                    .filter(x -> ((Entry.Judge) x).verdict() == Verdict.LOST)
                    .forEach(x -> assertThat(state.sessions().find("a").live()).isFalse());
        }
        assertThat(state.sessions().find("a").state()).isEqualTo(Sessions.State.LOST);
        join("a", "north", "2");
        assertThat(monitor.check(state.sessions().all(), 7, 91_600))
                .as("silence of a new session counts from when it is first seen")
                .isEmpty();
    }
}
