package plumpost.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import plumpost.Scenario;

/** Tests the operators' calls and bans in memory, with a clock that advances only between steps. */
class ControlTest {

    /** An upgrade relies on this: /control/ready answers 200 while the process serves and 503 once it drains. */
    @Test
    void readyReportsWhetherTheProcessServes() {
        Scenario scenario = new Scenario(1).play("""
            ops1 send GET /control/ready
            ops1 expect 200 ready*
            """);
        scenario.serving = false;
        scenario.play("""
            ops2 send GET /control/ready
            ops2 expect 503 *
            ops2 expect closed
            """);
    }

    /** After the ban is acknowledged the worker gets no new attempt; after it is lifted, the worker is used again. */
    @Test
    void aNodeTakenOfflineGetsNoNewJobUntilItIsBack() {
        Scenario scenario = new Scenario(1).play("""
            ops1 send POST /control/workers/node1/offline
            ops1 expect 200 *
            desk1 send POST /route-plan a 8000 x
            wait 600
            node1 expect nothing
            ops2 send POST /control/workers/node1/online
            ops2 expect 200 *
            wait 10
            node1 expect POST /route-plan a x
            node1 send done a route
            desk1 expect 200 route
            """);
        assertThat(scenario.counters.get("guard.drain")).isZero();
    }

    /** An order whose last byte is not sent yet when its node is banned must not be completed on that node. */
    @Test
    void anOrderHalfWrittenWhenItsNodeGoesOfflineIsNotCompleted() {
        Scenario scenario = new Scenario(1).play("""
            desk1 send POST /pickup-order a 20000 towels
            wait 2
            ops1 send POST /control/workers/node1/offline
            ops1 expect 200 *
            wait 10
            """);
        assertThat(scenario.counters.get("attempts.whole.pickup-order")).isZero();
        assertThat(scenario.counters.get("attempts.connect_failed")).isEqualTo(1);
    }

    /** A later complete node list that reports the node as up does not lift its ban. */
    @Test
    void aBanOutlivesANewNodeList() {
        Scenario scenario = new Scenario(1).play("""
            ops1 send POST /control/workers/node1/offline
            ops1 expect 200 *
            wait 4000
            list expect GET /registry/instances?follow=1&since=1
            """);
        scenario.play("list send {\"seq\":2,\"whole\":true,\"hosts\":[" + Scenario.hostEntry(1, "up", 0) + "]}");
        scenario.play("""
            desk1 send POST /route-plan a 8000 x
            wait 600
            node1 expect nothing
            ops2 send POST /control/workers/node1/offline
            ops2 expect 200 *
            ops3 send POST /control/workers/node1/online
            ops3 expect 200 *
            wait 10
            node1 expect POST /route-plan a x
            """);
    }

    /** An unknown worker id, path or method and a malformed request are each rejected with their status. */
    @Test
    void unknownIdsPathsAndMethodsAreRejected() {
        Scenario scenario = new Scenario(1).play("""
            ops1 send POST /control/workers/node9/offline
            ops1 expect 404 *
            ops2 send POST /control/workers/node9/online
            ops2 expect 404 *
            ops3 send GET /control/workers/node1/offline
            ops3 expect 405 *
            ops4 send POST /control/ready
            ops4 expect 405 *
            ops5 send GET /control/everything
            ops5 expect 404 *
            ops6 send POST /control/workers/node1/sideways
            ops6 expect 404 *
            ops7 send "GET /control/ready HTTP/1.1\\r\\nbad line\\r\\n\\r\\n"
            ops7 expect 400 *
            """);
        assertThat(scenario.core.avoidedNodeCount()).isZero();
    }

    /** A connection whose call is never completed is closed, and no other connection is affected. */
    @Test
    void anUnfinishedCallIsClosedAfterItsTimeout() {
        new Scenario(1).play("""
            ops1 send "GET /control/rea"
            wait 9000
            ops2 send GET /control/ready
            ops2 expect 200 *
            ops1 expect nothing
            wait 1300
            ops1 expect closed
            """);
    }

    /** The metrics count what the core did, by job class. */
    @Test
    void theCountersMatchWhatHappened() {
        Scenario scenario = new Scenario(1).play("""
            desk1 send POST /route-plan a 8000 x
            node1 expect POST /route-plan a x
            node1 send done a route
            desk1 expect 200 route
            desk1 send POST /pickup-order b 20000 y
            node1 expect POST /pickup-order b y
            node1 send failed b
            desk1 expect 500
            ops1 send POST /control/workers/node1/offline
            ops1 expect 200 *
            """);
        assertThat(new ControlOperations(scenario.core, scenario.counters, null, () -> true).statsdLines())
                .isEqualTo("""
            node.succeeded.route-plan:1|c
            node.declined.route-plan:0|c
            node.aborted.route-plan:0|c
            node.forwards.route-plan:1|c
            node.succeeded.pickup-order:0|c
            node.declined.pickup-order:0|c
            node.aborted.pickup-order:1|c
            node.forwards.pickup-order:1|c
            node.forwards:2|c
            node.sighup_applied:0|c
            node.sighup_rejected:0|c
            node.outstanding:0|g
            node.discovered:1|g
            node.ejected:1|g
            """);
        scenario.play("""
            ops2 send GET /control/counters
            ops2 expect 200 node.succeeded.route-plan:1|c*
            """);
        assertThat(scenario.counters.get("jobs.served.route-plan")).isEqualTo(1);
    }
}
