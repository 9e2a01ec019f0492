package plumpost.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import plumpost.Scenario;

/** The operators' listener and their bans, in memory with a clock that stands still between steps. */
class ControlTest {

    /** Guards the upgrade's yes: ready says 200 while the process serves, 503 once it drains. */
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

    /** Guards the drain rule on maintenance: after the yes nothing new goes out, and the call back brings it back. */
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
        assertThat(scenario.counters.of("guard.drain")).isZero();
    }

    /** Guards an order whose last byte is held back when the call comes: it must not be finished on that node. */
    @Test
    void anOrderHalfWrittenWhenItsNodeGoesOfflineIsNotCompleted() {
        Scenario scenario = new Scenario(1).play("""
            desk1 send POST /pickup-order a 20000 towels
            wait 2
            ops1 send POST /control/workers/node1/offline
            ops1 expect 200 *
            wait 10
            """);
        assertThat(scenario.counters.of("attempts.whole.pickup-order")).isZero();
        assertThat(scenario.counters.of("attempts.connect_failed")).isEqualTo(1);
    }

    /** Guards the ban against the list: a later whole list that says the node is up does not lift it. */
    @Test
    void aBanOutlivesANewNodeList() {
        Scenario scenario = new Scenario(1).play("""
            ops1 send POST /control/workers/node1/offline
            ops1 expect 200 *
            wait 4000
            list expect GET /registry/instances?follow=1&since=1
            """);
        scenario.play("list send {\"seq\":2,\"whole\":true,\"hosts\":[" + Scenario.host(1, "up", 0) + "]}");
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

    /** Guards the operators' no: an id that was never listed, a path or method that does not exist. */
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
        assertThat(scenario.room.avoided()).isZero();
    }

    /** Guards the places of others against a caller who never ends its call: it is cut, and only it. */
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

    /** Guards the figures: what the core did, by class, counted as it happened. */
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
        assertThat(new ControlOperations(scenario.room, scenario.counters, null, () -> true).statsdLines())
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
        assertThat(scenario.counters.of("jobs.served.route-plan")).isEqualTo(1);
    }
}
