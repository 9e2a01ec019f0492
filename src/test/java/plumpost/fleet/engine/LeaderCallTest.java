package plumpost.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientRpc;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftGroupMemberId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.exceptions.LeaderNotReadyException;
import org.apache.ratis.protocol.exceptions.LeaderSteppingDownException;
import org.apache.ratis.protocol.exceptions.NotLeaderException;
import org.apache.ratis.protocol.exceptions.RaftException;
import org.apache.ratis.protocol.exceptions.StateMachineException;
import org.junit.jupiter.api.Test;

/** Proposals to a leader that changes, is not ready, steps down or does not answer. */
class LeaderCallTest {
    private static final RaftGroupId GROUP = RaftGroupId.randomId();
    private static final RaftPeerId A = RaftPeerId.valueOf("a");
    private static final RaftPeerId B = RaftPeerId.valueOf("b");
    private static final Message ENTRY = Message.valueOf("entry");

    /** What each attempt in turn meets: an exception of the reply, an exception in place of a reply, or null for success. */
    private final ArrayDeque<Exception> attempts = new ArrayDeque<>();

    private final List<RaftClientRequest> requests = new ArrayList<>();
    private final List<RaftPeerId> replacedConnections = new ArrayList<>();
    /** The members that the client was told of; it cannot send to others. */
    private final Set<RaftPeer> knownPeers = new HashSet<>();

    private RaftPeerId knownLeader = A;
    private final LeaderCall.GroupView group = new LeaderCall.GroupView() {
        @Override
        public RaftPeerId leader() {
            return knownLeader;
        }

        @Override
        public Collection<RaftPeer> members() {
            return List.of(peer(A));
        }
    };

    private static RaftPeer peer(RaftPeerId id) {
        return RaftPeer.newBuilder().setId(id).build();
    }

    @SuppressWarnings("unchecked")
    private RaftClient client() {
        RaftClientRpc rpc = stub(RaftClientRpc.class, (method, arguments) -> switch (method) {
            case "sendRequest" -> answer((RaftClientRequest) arguments[0]);
            case "addRaftPeers" -> knownPeers.addAll((Collection<RaftPeer>) arguments[0]);
            case "handleException" -> replacedConnections.add((RaftPeerId) arguments[0]);
            default -> null;
        });
        ClientId id = ClientId.randomId();
        return stub(RaftClient.class, (method, arguments) -> switch (method) {
            case "getClientRpc" -> rpc;
            case "getId" -> id;
            case "getGroupId" -> GROUP;
            default -> null;
        });
    }

    private interface Answers {
        Object call(String method, Object[] arguments) throws Exception;
    }

    private static <T> T stub(Class<T> type, Answers answers) {
        return type.cast(Proxy.newProxyInstance(
                type.getClassLoader(),
                new Class<?>[] {type},
                (proxy, method, arguments) -> answers.call(method.getName(), arguments)));
    }

    private RaftClientReply answer(RaftClientRequest request) throws IOException {
        assertThat(knownPeers).extracting(RaftPeer::getId).contains(request.getServerId());
        requests.add(request);
        Exception failure = attempts.poll();
        if (failure instanceof RaftException reported) {
            return RaftClientReply.newBuilder()
                    .setRequest(request)
                    .setException(reported)
                    .build();
        } else if (failure instanceof IOException unanswered) {
            throw unanswered;
        }
        return RaftClientReply.newBuilder().setRequest(request).setSuccess().build();
    }

    private List<RaftPeerId> servers() {
        return requests.stream().map(RaftClientRequest::getServerId).toList();
    }

    /** Guards against an entry that is applied twice, or told as unknown, because the leader was changing. */
    @Test
    void attemptsAreRepeatedUnderOneCallIdUntilALeaderAnswers() throws Exception {
        RaftGroupMemberId memberA = RaftGroupMemberId.valueOf(A, GROUP);
        RaftPeer peerB = peer(B);
        attempts.add(new IOException("not answered in time"));
        attempts.add(new LeaderNotReadyException(memberA));
        attempts.add(new LeaderSteppingDownException("a steps down"));
        attempts.add(new NotLeaderException(memberA, peerB, Set.of(peerB)));
        RaftClientReply reply = new LeaderCall(ENTRY, group).execute(client());
        assertThat(reply.isSuccess()).isTrue();
        assertThat(servers()).containsExactly(A, A, A, A, B);
        assertThat(requests)
                .extracting(RaftClientRequest::getCallId)
                .containsOnly(requests.get(0).getCallId());
        assertThat(requests)
                .allMatch(
                        request -> request.is(org.apache.ratis.proto.RaftProtos.RaftClientRequestProto.TypeCase.WRITE));
        assertThat(replacedConnections).isEmpty();
    }

    /** Guards against seconds of waiting on a silent member: its connection is replaced only after several attempts. */
    @Test
    void aConnectionIsReplacedAfterFourAttemptsWithoutAnAnswer() throws Exception {
        for (int i = 0; i < 5; i++) {
            attempts.add(new IOException("not answered in time"));
        }
        assertThat(new LeaderCall(ENTRY, group).execute(client()).isSuccess()).isTrue();
        assertThat(replacedConnections).containsExactly(A);
    }

    /** What the leader refuses before it enters the log is an answer. */
    @Test
    void aRefusalIsReturned() throws Exception {
        attempts.add(new StateMachineException("the fleet is being founded", null, false));
        RaftClientReply reply = new LeaderCall(ENTRY, group).execute(client());
        assertThat(reply.getStateMachineException()).hasMessageContaining("being founded");
        assertThat(requests).hasSize(1);
    }

    /** Guards against a late effect: a call that timed out before a leader was known is not sent any more. */
    @Test
    void aCallThatWasCancelledUnsentIsNeverSent() {
        knownLeader = null;
        int[] looks = new int[1];
        LeaderCall[] call = new LeaderCall[1];
        call[0] = new LeaderCall(ENTRY, new LeaderCall.GroupView() {
            @Override
            public RaftPeerId leader() {
                if (++looks[0] == 3) {
                    assertThat(call[0].cancelUnsent()).isTrue();
                    knownLeader = A;
                }
                return knownLeader;
            }

            @Override
            public Collection<RaftPeer> members() {
                return List.of(peer(A));
            }
        });
        assertThatThrownBy(() -> call[0].execute(client())).isInstanceOf(InterruptedIOException.class);
        assertThat(requests).isEmpty();
        assertThat(call[0].cancelUnsent()).isFalse();
    }
}
