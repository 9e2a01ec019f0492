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

/** A blocking Gearman connection of the laboratory. */
final class Peer implements Closeable {
    private final Socket socket = new Socket();
    private final PacketReader reader = new PacketReader(Packet.RESPONSE, false, 1 << 24);
    private final byte[] bytes = new byte[65_536];
    private ByteBuffer unread = ByteBuffer.allocate(0);

    Peer(int port, int patienceMs) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        socket.setSoTimeout(patienceMs);
    }

    void send(Type type, Object... arguments) throws IOException {
        for (ByteBuffer b : Packet.bytes(Packet.REQUEST, type, arguments)) {
            byte[] some = new byte[b.remaining()];
            b.get(some);
            socket.getOutputStream().write(some);
        }
    }

    /** The next packet; an exception at the connection's end or when the patience is over. */
    Packet next() throws IOException {
        InputStream in = socket.getInputStream();
        while (true) {
            try {
                Packet p = reader.next(unread);
                if (p != null) {
                    return p;
                }
            } catch (PacketReader.BadPacket e) {
                throw new IOException(e);
            }
            int n = in.read(bytes);
            if (n < 0) {
                throw new IOException("the connection has ended");
            }
            unread = ByteBuffer.wrap(bytes.clone(), 0, n);
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // it is gone either way
        }
    }
}
