package plumpost.platform;

import plumpost.decision.Dispatcher.Ending;
import plumpost.dispatch.Attempt;
import plumpost.dispatch.NodeLink;
import plumpost.dispatch.Probe;

/** The link to a node that is listed as removed and without an address: every attempt and probe fails to connect. */
enum AbsentLink implements NodeLink {
    LINK;

    @Override
    public void send(Attempt attempt) {
        attempt.ended(Ending.CONNECT_FAILED, null);
    }

    @Override
    public void giveUp(Attempt attempt) {}

    @Override
    public void probe(Probe probe) {
        probe.ended(Ending.CONNECT_FAILED, null);
    }

    @Override
    public void closeIdle() {}
}
