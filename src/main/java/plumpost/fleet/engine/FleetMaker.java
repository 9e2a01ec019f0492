package plumpost.fleet.engine;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import plumpost.config.Json;
import plumpost.config.Json.BadInput;
import plumpost.config.PeersConfig;
import plumpost.fleet.Entry;
import plumpost.fleet.FleetCodec;
import plumpost.fleet.Member;
import plumpost.fleet.Outcome;
import plumpost.net.LoopContext;
import plumpost.peers.Fleet;
import plumpost.peers.Host;

/** Creates a scheduler's fleet member on Ratis, and sends the operators' commands to a running fleet. */
public final class FleetMaker implements Fleet.Maker {
    /** Ratis's gRPC transport logs through java.util.logging, and prints a stack trace for each refused connection. */
    private static final Logger TRANSPORT = Logger.getLogger("org.apache.ratis.thirdparty");

    /** Called by reflection; silences the transport's logger. */
    public FleetMaker() {
        TRANSPORT.setLevel(Level.OFF);
    }

    @Override
    public Fleet make(PeersConfig config, Host host, LoopContext context, Consumer<Runnable> loop) {
        DataDirectory dataDirectory;
        try {
            dataDirectory = new DataDirectory(config.data(), config.self().name(), config.group());
        } catch (IOException e) {
            throw new BadInput("peers.data " + config.data() + " cannot be used: " + e);
        }
        byte[] nonce = new byte[8];
        new SecureRandom().nextBytes(nonce);
        Failpoints failpoints = Failpoints.create(config.self().name(), context.log());
        Member member = new Member(
                config,
                HexFormat.of().formatHex(nonce),
                dataDirectory.diskId(),
                config.queriesDiscovery(),
                failpoints == null ? host : failpoints.wrapHost(host),
                context.clock(),
                context.unixTime(),
                context.wheel(),
                context.counters(),
                context.log());
        RatisLog fleetLog = new RatisLog(
                config,
                dataDirectory,
                failpoints == null ? member : failpoints.wrapListener(member),
                loop::accept,
                context.log(),
                failpoints);
        member.setLog(failpoints == null ? fleetLog : failpoints.wrapLog(fleetLog));
        fleetLog.start();
        return member;
    }

    @Override
    public String call(PeersConfig config, String command, String argument) {
        Thread.currentThread().setContextClassLoader(FleetMaker.class.getClassLoader());
        PeerNameResolver.registerAddresses(config);
        StringBuilder failures = new StringBuilder();
        for (PeersConfig.Member candidate : config.members()) {
            try {
                RaftGroup group = RatisSetup.queryGroup(RatisSetup.groupId(config.group()), candidate);
                if (group == null || group.getPeers().isEmpty()) {
                    failures.append("; ")
                            .append(candidate.name())
                            .append(" is in no fleet ")
                            .append(config.group());
                    continue;
                }
                try (RaftClient client = RatisSetup.client(group, 20)) {
                    return call(client, command, argument);
                }
            } catch (IOException | RuntimeException e) {
                if (e instanceof BadInput) {
                    throw (BadInput) e;
                }
                failures.append("; ").append(candidate.name()).append(": ").append(e.getMessage());
            }
        }
        throw new BadInput("fleet " + config.group() + ": no member answers" + failures);
    }

    private static String call(RaftClient client, String command, String argument) throws IOException {
        String json = successfulContent(client.io().sendReadOnly(Message.valueOf("show")))
                .toStringUtf8();
        if (command.equals("show")) {
            return json;
        }
        Entry entry;
        if (command.equals("yield")) {
            List<?> duties =
                    Json.object("fleet", json.getBytes(StandardCharsets.UTF_8)).list("duties");
            Map<?, ?> duty = duties.stream()
                    .map(item -> (Map<?, ?>) item)
                    .filter(candidate -> argument.equals(candidate.get("name")))
                    .findFirst()
                    .orElseThrow(() -> new BadInput("fleet yield: no duty " + argument));
            entry = new Entry.Yield(argument, ((Number) duty.get("fence")).longValue());
        } else {
            entry = new Entry.Remove(argument);
        }
        int format = Json.object("fleet", json.getBytes(StandardCharsets.UTF_8)).integer("format");
        ByteString reply = successfulContent(
                client.io().send(Message.valueOf(ByteString.copyFrom(FleetCodec.encode(entry, format)))));
        Outcome outcome = FleetCodec.decodeOutcome(reply.toByteArray());
        if (!outcome.done()) {
            throw new BadInput("fleet " + command + ": " + outcome.detail());
        }
        return command.equals("yield") ? argument + " passed on, fence " + outcome.number() : argument + " removed";
    }

    private static ByteString successfulContent(RaftClientReply reply) throws IOException {
        if (!reply.isSuccess()) {
            throw reply.getException();
        }
        return reply.getMessage().getContent();
    }
}
