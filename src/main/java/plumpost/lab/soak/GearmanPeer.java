package plumpost.lab.soak;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import plumpost.gearman.Packet;
import plumpost.gearman.Packet.Type;
import plumpost.gearman.PacketReader;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.SelectorLoop;

/** One connection of an emulated Gearman client or worker. */
abstract class GearmanPeer implements ConnectionHandler {
    private static final int MAX_PACKET_BYTES = 1 << 20;

    private final PacketReader reader = new PacketReader(Packet.RESPONSE, false, MAX_PACKET_BYTES);
    private final Connection connection;
    private final Oracle oracle;
    private boolean closed;

    GearmanPeer(SelectorLoop loop, InetSocketAddress address, Oracle oracle) {
        this.oracle = oracle;
        connection = loop.dial(address, made -> this);
    }

    /** Handles a packet. */
    abstract void onPacket(Packet packet);

    /** Called once when the other side or a fault has ended the connection. */
    abstract void onEnded();

    final void send(Type type, Object... arguments) {
        if (!closed) {
            connection.write(Packet.encode(Packet.REQUEST, type, arguments));
        }
    }

    final void close() {
        if (!closed) {
            closed = true;
            connection.closeNow();
        }
    }

    @Override
    public final void received(ByteBuffer in) {
        try {
            for (Packet packet = reader.next(in); packet != null && !closed; packet = reader.next(in)) {
                onPacket(packet);
            }
        } catch (PacketReader.BadPacket e) {
            oracle.recordViolation(Oracle.Rule.FORGED, "a Gearman peer got what is no packet: " + e);
            close();
        }
    }

    @Override
    public final void ended() {
        if (!closed) {
            closed = true;
            onEnded();
        }
    }
}
