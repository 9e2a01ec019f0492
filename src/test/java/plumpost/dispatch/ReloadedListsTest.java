package plumpost.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import plumpost.Scenario;

/** Guards jobs against lists of the start that SIGHUP makes shorter, longer or orders otherwise. */
class ReloadedListsTest {
    private static String withTenants(int count) {
        String tenants = String.join(",", java.util.Collections.nCopies(count, "{\"name\":\"t\",\"quotaPerS\":100.0}"));
        return Scenario.SETTINGS.replace("\"classes\":[", "\"tenants\":[" + tenants + "],\"classes\":[");
    }

    /** A job is decided on by the tenants in force, also where they are fewer or more than at the start. */
    @ParameterizedTest
    @CsvSource({"2,0", "2,1", "0,2", "1,3"})
    void jobsAreServedAfterTheNumberOfTenantsChanges(int atStart, int atReload) {
        Scenario scenario = new Scenario(1, withTenants(atStart), 1024);
        scenario.applyFile(withTenants(atReload), "[]").play("""
                desk1 send POST /route-plan a 8000 x
                node1 expect POST /route-plan a x
                node1 send done a plan
                desk1 expect 200 plan
                """);
        assertThat(scenario.log).noneMatch(line -> line.contains("fault"));
    }
}
