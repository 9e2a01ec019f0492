package plumpost.fleet.engine;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.exceptions.NotLeaderException;
import org.apache.ratis.rpc.CallId;

/**
 * Proposes one entry to the leader that this member knows, again and again until a leader has answered. Every attempt has the
 * same call id, so that the log applies the entry once. While no leader is known nothing is sent.
 *
 * <p>The client's own retries are not used: they try other members at random, share one idea of the leader between all calls
 * and, after each failure, wait for seconds until the connection to the failed member is closed.
 */
final class LeaderCall implements RaftCalls.Call {
    private static final long RETRY_PAUSE_MS = 20;
    /** After this many attempts in a row that a known leader did not answer, the connection to it is replaced. */
    private static final int MAX_UNANSWERED_ATTEMPTS = 4;

    /** The group as this member knows it now. */
    interface GroupView {
        /** Returns the leader, or null if none is known. */
        RaftPeerId leader();

        /** Returns the members; a client created earlier may know fewer of them. */
        Collection<RaftPeer> members();
    }

    private enum Progress {
        WAITING,
        SENT,
        CANCELLED
    }

    private final Message message;
    private final GroupView group;
    private final AtomicReference<Progress> progress = new AtomicReference<>(Progress.WAITING);

    /** Creates a call that proposes a message. */
    LeaderCall(Message message, GroupView group) {
        this.message = message;
        this.group = group;
    }

    @Override
    public RaftClientReply execute(RaftClient client) throws IOException {
        long callId = CallId.getAndIncrement();
        RaftPeerId suggestedLeader = null;
        int unansweredAttempts = 0;
        while (true) {
            RaftPeerId leader = suggestedLeader == null ? group.leader() : suggestedLeader;
            suggestedLeader = null;
            if (leader != null) {
                if (!markSent()) {
                    throw new InterruptedIOException("cancelled before it was sent");
                }
                client.getClientRpc().addRaftPeers(group.members());
                try {
                    RaftClientReply reply = client.getClientRpc().sendRequest(request(client, leader, callId));
                    if (reply.isSuccess() || reply.getStateMachineException() != null) {
                        return reply;
                    }
                    unansweredAttempts = 0; // it is not the leader, or not ready, or is stepping down
                    suggestedLeader = suggestedLeader(client, reply.getNotLeaderException());
                } catch (InterruptedIOException e) {
                    throw e;
                } catch (IOException e) {
                    if (++unansweredAttempts % MAX_UNANSWERED_ATTEMPTS == 0) {
                        client.getClientRpc().handleException(leader, e, true);
                    }
                }
            }
            pause();
        }
    }

    private RaftClientRequest request(RaftClient client, RaftPeerId leader, long callId) {
        return RaftClientRequest.newBuilder()
                .setClientId(client.getId())
                .setServerId(leader)
                .setGroupId(client.getGroupId())
                .setCallId(callId)
                .setMessage(message)
                .setType(RaftClientRequest.writeRequestType())
                .build();
    }

    private static RaftPeerId suggestedLeader(RaftClient client, NotLeaderException notLeader) {
        if (notLeader == null || notLeader.getSuggestedLeader() == null) {
            return null;
        }
        client.getClientRpc().addRaftPeers(List.of(notLeader.getSuggestedLeader()));
        return notLeader.getSuggestedLeader().getId();
    }

    private static void pause() throws InterruptedIOException {
        try {
            Thread.sleep(RETRY_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("the call was not answered in time");
        }
    }

    private boolean markSent() {
        return progress.compareAndSet(Progress.WAITING, Progress.SENT) || progress.get() == Progress.SENT;
    }

    @Override
    public boolean cancelUnsent() {
        return progress.compareAndSet(Progress.WAITING, Progress.CANCELLED);
    }
}
