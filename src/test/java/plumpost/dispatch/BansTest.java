package plumpost.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The operators' bans alone: what each call says, what is handed over, and that memory stays bounded. */
class BansTest {

    /** Guards the operators' words: unknown is a no, out twice is once, one call back undoes it. */
    @Test
    void callsOutAndBack() {
        Bans b = new Bans();
        assertThat(b.ban("w1")).isEqualTo(Bans.Said.UNKNOWN);
        assertThat(b.lift("w1")).isEqualTo(Bans.Said.UNKNOWN);
        b.saw("w1");
        assertThat(b.ban("w1")).isEqualTo(Bans.Said.CHANGED);
        assertThat(b.ban("w1")).isEqualTo(Bans.Said.SAME);
        assertThat(b.out("w1")).isTrue();
        assertThat(b.lift("w1")).isEqualTo(Bans.Said.CHANGED);
        assertThat(b.out("w1")).isFalse();
        assertThat(b.lift("w1")).isEqualTo(Bans.Said.SAME);
    }

    /** Guards the upgrade: what one process wrote is what the other takes, and a node banned there is known here. */
    @Test
    void handedOverTextIsTakenWhole() {
        Bans old = new Bans();
        old.saw("w2");
        old.saw("w1");
        old.ban("w2");
        old.ban("w1");
        assertThat(old.text()).isEqualTo("w1\nw2\n");
        Bans fresh = new Bans();
        fresh.saw("w3");
        fresh.ban("w3");
        assertThat(fresh.adopt(old.text())).containsExactlyInAnyOrder("w1", "w2", "w3");
        assertThat(fresh.out("w3")).isFalse();
        assertThat(fresh.lift("w1")).isEqualTo(Bans.Said.CHANGED);
        assertThat(fresh.adopt("w1\n\n  spaced  \n" + "x".repeat(300) + "\n")).containsExactlyInAnyOrder("w1", "w2");
        assertThat(fresh.size()).isEqualTo(1);
    }

    /** Guards the memory against a list that churns: ids remembered stay bounded, the newest are kept. */
    @Property(tries = 20, seed = "20")
    void rememberedIdsStayBounded(@ForAll @IntRange(min = 1, max = 30_000) int listed) {
        Bans b = new Bans();
        for (int i = 0; i < listed; i++) {
            b.saw("w" + i);
        }
        assertThat(b.ban("w" + (listed - 1))).isEqualTo(Bans.Said.CHANGED);
        if (listed > Bans.REMEMBERED) {
            assertThat(b.ban("w0")).isEqualTo(Bans.Said.UNKNOWN);
        }
    }
}
