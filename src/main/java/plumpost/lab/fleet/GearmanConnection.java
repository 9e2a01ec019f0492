package plumpost.lab.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import plumpost.gearman.Packet;
import plumpost.gearman.Packet.Type;
import plumpost.gearman.PacketReader;

/** Blocking Gearman connection of a laboratory client or worker. */
final class GearmanConnection implements Closeable {
    private final Socket socket = new Socket();
    private final PacketReader reader = new PacketReader(Packet.RESPONSE, false, 1 << 24);
    private final byte[] bytes = new byte[65_536];
    private ByteBuffer unread = ByteBuffer.allocate(0);

    GearmanConnection(int port, int timeoutMs) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        socket.setSoTimeout(timeoutMs);
    }

    void send(Type type, Object... arguments) throws IOException {
        for (ByteBuffer b : Packet.encode(Packet.REQUEST, type, arguments)) {
            byte[] chunk = new byte[b.remaining()];
            b.get(chunk);
            socket.getOutputStream().write(chunk);
        }
    }

    /** Returns the next packet; throws at the end of the connection, on a malformed packet and on a read timeout. */
    Packet next() throws IOException {
        InputStream in = socket.getInputStream();
        while (true) {
            try {
                Packet packet = reader.next(unread);
                if (packet != null) {
                    return packet;
                }
            } catch (PacketReader.BadPacket e) {
                throw new IOException(e);
            }
            int count = in.read(bytes);
            if (count < 0) {
                throw new IOException("connection closed by the scheduler");
            }
            unread = ByteBuffer.wrap(bytes.clone(), 0, count);
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // closing a broken connection: nothing left to release
        }
    }
}
