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

/** The fleet's book, its records' form, and the leader's ear. */
class FleetBookTest {
    private final FleetBook book = new FleetBook();
    private final List<News> news = new ArrayList<>();

    private Outcome apply(Entry e) {
        return book.apply(e, 7, news);
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
        return book.duties().of(duty).owner();
    }

    /** Guards who gets what: the site's own first, then who has fewest; sticky, and every change under a higher fence. */
    @Test
    void dutiesGoHomeAndStayAndAreLevelled() {
        long a = join("a", "north", "1");
        assertThat(owner("schedule") + owner("discovery/north") + owner("discovery/south"))
                .isEqualTo("aaa");
        long fence = book.duties().of("discovery/south").fence();
        long b = join("b", "south", "1");
        assertThat(owner("discovery/south")).isEqualTo("b");
        assertThat(book.duties().of("discovery/south").fence()).isGreaterThan(fence);
        join("c", "north", "1");
        assertThat(owner("schedule") + owner("discovery/north"))
                .as("a gap of two moves one")
                .contains("c")
                .contains("a");
        String before = book.duties().all().toString();
        join("d", "north", "1");
        assertThat(book.duties().all().toString()).as("sticky").isEqualTo(before);
        apply(new Entry.Leave("b", b, false));
        assertThat(book.sessions().live("b", b)).as("it finishes what it has").isTrue();
        assertThat(owner("discovery/south")).isEqualTo("d");
        assertThat(join("a", "north", "1")).as("the same process joins once").isEqualTo(a);
        assertThat(join("a", "north", "2")).isGreaterThan(a);
    }

    /** Guards against a leader that was stopped: what it thinks of others under its old term is not believed. */
    @Test
    void anOldLeaderIsNotBelieved() {
        long a = join("a", "north", "1");
        assertThat(apply(new Entry.Judge("a", a, Verdict.LOST, 6)).done()).isFalse();
        assertThat(apply(new Entry.Judge("a", a, Verdict.SUSPECT, 7)).done()).isTrue();
        assertThat(owner("schedule")).as("a suspect keeps its duties").isEqualTo("a");
        assertThat(apply(new Entry.Judge("a", a, Verdict.LOST, 7)).done()).isTrue();
        assertThat(owner("schedule")).isEmpty();
        assertThat(apply(new Entry.Judge("a", a, Verdict.ALIVE, 7)).done())
                .as("a lost life stays lost")
                .isFalse();
    }

    /** Guards the fences of all that an owner does inside the log, and the removal of a scheduler for good. */
    @Test
    void oldFencesAndRemovedSchedulersAreRefused() {
        join("a", "north", "1");
        join("b", "north", "1");
        Duties.Duty d = book.duties().of("discovery/north");
        assertThat(apply(new Entry.Word(d.name(), d.fence(), 1, false, "x")).words())
                .contains("whole list");
        assertThat(apply(new Entry.Word(d.name(), d.fence(), 1, true, "w")).done())
                .isTrue();
        assertThat(apply(new Entry.Yield(d.name(), d.fence())).done()).isTrue();
        assertThat(apply(new Entry.Word(d.name(), d.fence(), 2, true, "late")).words())
                .contains("is old");
        assertThat(apply(new Entry.Yield(d.name(), d.fence())).done()).isFalse();
        assertThat(book.words(d.name())).extracting(Entry.Word::text).containsExactly("w");
        apply(new Entry.Remove("a"));
        assertThat(apply(new Entry.Join("a", "north", "disk-a", true, "9", 1, List.of()))
                        .words())
                .contains("removed");
        assertThat(apply(new Entry.Remove("z")).words()).contains("no scheduler z");
        assertThat(news).filteredOn(n -> n instanceof News.Refused).hasSize(5);
    }

    /** Guards one run for one key, and what becomes of what a lost life had: told goes on, begun once is given up. */
    @Test
    void plannedJobsGoOnOnceWhenTheirLifeIsLost() {
        long a = join("a", "north", "1");
        long b = join("b", "north", "1");
        long fence = book.duties().of("schedule").fence();
        for (String id : List.of("told", "begun", "again")) {
            apply(new Entry.Plan(id, "f", "key-" + id, new byte[3], 5, id.equals("again")));
            assertThat(apply(new Entry.Fire(id, fence, "a", a)).done()).isTrue();
        }
        assertThat(apply(new Entry.Plan("other", "f", "key-told", new byte[3], 9, false))
                        .words())
                .isEqualTo("told");
        apply(new Entry.Begin("begun", "a", a));
        apply(new Entry.Begin("again", "a", a));
        assertThat(apply(new Entry.CallOff("begun")).done()).isFalse();
        apply(new Entry.Judge("a", a, Verdict.LOST, 7));
        assertThat(book.plans().givenUp()).containsExactly("begun");
        assertThat(apply(new Entry.Begin("told", "a", a)).done())
                .as("a lost life begins nothing")
                .isFalse();
        fence = book.duties().of("schedule").fence();
        assertThat(apply(new Entry.Fire("told", fence, "b", b)).done()).isTrue();
        assertThat(apply(new Entry.Begin("told", "b", b)).done()).isTrue();
        assertThat(apply(new Entry.Begin("told", "b", b)).done())
                .as("a right is used up")
                .isFalse();
        assertThat(apply(new Entry.End("told", "b", b, false)).done()).isTrue();
        assertThat(apply(new Entry.End("told", "b", b, false)).done()).isFalse();
        assertThat(book.plans().all()).extracting(Plans.Job::id).containsExactly("again");
    }

    /** Guards snapshots and records: both give back what went in, and what is newer or damaged is refused loudly. */
    @Test
    void snapshotsAndRecordsAreReadBackOrRefused() throws Exception {
        plannedJobsGoOnOnceWhenTheirLifeIsLost();
        apply(new Entry.Ban("n1", true));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        FleetCodec.write(book, out);
        FleetBook other = new FleetBook();
        other.restore(FleetCodec.snapshot(new ByteArrayInputStream(out.toByteArray())));
        ByteArrayOutputStream again = new ByteArrayOutputStream();
        FleetCodec.write(other, again);
        assertThat(again.toByteArray()).isEqualTo(out.toByteArray());
        long fence = other.duties().of("schedule").fence();
        other.apply(new Entry.Yield("schedule", fence), 7, news);
        other.apply(new Entry.Join("n", "north", "d", true, "1", 1, List.of(new Offer("new", ""))), 7, news);
        assertThat(other.duties().of("new").fence())
                .as("no fence is used again")
                .isGreaterThan(fence);
        byte[] e = FleetCodec.bytes(new Entry.Ban("n1", true), 1);
        assertThat(FleetCodec.entry(e)).isEqualTo(new Entry.Ban("n1", true));
        byte[] newer = e.clone();
        newer[1] = 2;
        assertThatThrownBy(() -> FleetCodec.entry(newer)).hasMessageContaining("record format 2");
        byte[] newerSnapshot = out.toByteArray();
        newerSnapshot[1] = 9;
        assertThatThrownBy(() -> FleetCodec.snapshot(new ByteArrayInputStream(newerSnapshot)))
                .hasMessageContaining("format 9");
        assertThatThrownBy(() -> FleetCodec.entry(Arrays.copyOf(e, e.length - 1)))
                .isInstanceOf(FleetCodec.Unreadable.class);
    }

    /** Guards the record format: it is raised once all read it, never lowered, and then an older program stays out. */
    @Test
    void theFormatIsRaisedOnceAllReadIt() {
        join("a", "north", "1");
        apply(new Entry.Join("b", "north", "disk-b", true, "1", 2, List.of()));
        assertThat(apply(new Entry.Raise(2)).words()).contains("not read by all, 1 is");
        long a = apply(new Entry.Join("a", "north", "disk-a", true, "2", 3, List.of()))
                .number();
        assertThat(apply(new Entry.Raise(2)).done()).isTrue();
        apply(new Entry.Raise(1));
        assertThat(book.sessions().format()).isEqualTo(2);
        assertThat(apply(new Entry.Join("c", "north", "disk-c", true, "1", 1, List.of()))
                        .words())
                .contains("writes record format 2, the program of c reads 1 to 1");
        assertThat(book.sessions().live("a", a)).isTrue();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        FleetCodec.write(book, out);
        assertThat(out.toByteArray()[1]).as("the snapshot's format").isEqualTo((byte) 2);
    }

    /** Guards the reader of the log: whatever bytes come, it gives an entry or says that they are none. */
    @Property(tries = 300)
    void hostileBytesAreNoEntries(@ForAll byte[] noise, @ForAll int seed) {
        Random random = new Random(seed);
        byte[] spoilt = FleetCodec.bytes(new Entry.Plan("i", "f", "u", new byte[9], 1, true), 1);
        for (int n = random.nextInt(4); n >= 0; n--) {
            spoilt[random.nextInt(spoilt.length)] = (byte) random.nextInt();
        }
        for (byte[] b : List.of(noise, spoilt)) {
            try {
                assertThat(FleetCodec.entry(b)).isNotNull();
            } catch (FleetCodec.Unreadable e) {
                assertThat(e.getMessage()).isNotEmpty();
            }
        }
    }

    /** Guards the leader's ear: new in office or stopped for a while, it calls nobody lost for what it did not hear. */
    @Test
    void aLeaderThatWasStoppedCallsNobodyLost() {
        long a = join("a", "north", "1");
        Beats beats = new Beats(1000, 1500, 500);
        assertThat(beats.look(book.sessions().all(), 7, 50_000)).isEmpty();
        for (double now = 50_100; now < 50_900; now += 100) {
            assertThat(beats.look(book.sessions().all(), 7, now)).isEmpty();
        }
        beats.beat("a", a, 50_900, 0);
        assertThat(beats.look(book.sessions().all(), 7, 51_000)).isEmpty();
        assertThat(beats.look(book.sessions().all(), 7, 90_000))
                .as("stopped for 39 s")
                .isEmpty();
        List<Entry> said = new ArrayList<>();
        for (double now = 90_100; now <= 91_500 && said.size() < 2; now += 100) {
            said = beats.look(book.sessions().all(), 7, now);
            said.forEach(this::apply);
            said.stream()
                    .filter(x -> ((Entry.Judge) x).verdict() == Verdict.LOST)
                    .forEach(x -> assertThat(book.sessions().of("a").live()).isFalse());
        }
        assertThat(book.sessions().of("a").state()).isEqualTo(Sessions.State.LOST);
        join("a", "north", "2");
        assertThat(beats.look(book.sessions().all(), 7, 91_600))
                .as("a new life's time runs from when it is seen")
                .isEmpty();
    }
}
