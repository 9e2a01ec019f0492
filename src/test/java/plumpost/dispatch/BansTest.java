package plumpost.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests the results of ban calls, the hand-over of bans and the bound on remembered ids. */
class BansTest {

    /** An unknown node is rejected, a second ban changes nothing, and one call lifts the ban. */
    @Test
    void banAndUnbanReportWhatChanged() {
        Bans bans = new Bans();
        assertThat(bans.ban("w1")).isEqualTo(Bans.BanResult.UNKNOWN);
        assertThat(bans.unban("w1")).isEqualTo(Bans.BanResult.UNKNOWN);
        bans.recordListed("w1");
        assertThat(bans.ban("w1")).isEqualTo(Bans.BanResult.CHANGED);
        assertThat(bans.ban("w1")).isEqualTo(Bans.BanResult.SAME);
        assertThat(bans.isBanned("w1")).isTrue();
        assertThat(bans.unban("w1")).isEqualTo(Bans.BanResult.CHANGED);
        assertThat(bans.isBanned("w1")).isFalse();
        assertThat(bans.unban("w1")).isEqualTo(Bans.BanResult.SAME);
    }

    /** At an upgrade the new process takes over exactly the bans that the old one wrote, and knows their nodes. */
    @Test
    void adoptReplacesBansAndReturnsChangedIds() {
        Bans previous = new Bans();
        previous.recordListed("w2");
        previous.recordListed("w1");
        previous.ban("w2");
        previous.ban("w1");
        assertThat(previous.text()).isEqualTo("w1\nw2\n");
        Bans restarted = new Bans();
        restarted.recordListed("w3");
        restarted.ban("w3");
        assertThat(restarted.adopt(previous.text())).containsExactlyInAnyOrder("w1", "w2", "w3");
        assertThat(restarted.isBanned("w3")).isFalse();
        assertThat(restarted.unban("w1")).isEqualTo(Bans.BanResult.CHANGED);
        assertThat(restarted.adopt("w1\n\n  spaced  \n" + "x".repeat(300) + "\n"))
                .containsExactlyInAnyOrder("w1", "w2");
        assertThat(restarted.bannedCount()).isEqualTo(1);
    }

    /** A node list that keeps changing must not exhaust memory: only the newest ids are remembered. */
    @Property(tries = 20, seed = "20")
    void rememberedIdsAreBounded(@ForAll @IntRange(min = 1, max = 30_000) int listed) {
        Bans bans = new Bans();
        for (int i = 0; i < listed; i++) {
            bans.recordListed("w" + i);
        }
        assertThat(bans.ban("w" + (listed - 1))).isEqualTo(Bans.BanResult.CHANGED);
        if (listed > Bans.MAX_REMEMBERED_IDS) {
            assertThat(bans.ban("w0")).isEqualTo(Bans.BanResult.UNKNOWN);
        }
    }
}
