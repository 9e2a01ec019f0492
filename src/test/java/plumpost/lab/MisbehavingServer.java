package plumpost.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import plumpost.gearman.Packet;
import plumpost.gearman.Packet.Type;
import plumpost.gearman.PacketReader;

/** A server that breaks the rules: it answers jobs twice, once or not at all, in turn, and always with a wrong result. */
final class MisbehavingServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());

    MisbehavingServer() throws IOException {
        Thread thread = new Thread(this::serve, "misbehaving-server");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void serve() {
        PacketReader reader = new PacketReader(Packet.REQUEST, false, 1 << 20);
        try (Socket socket = listener.accept()) {
            byte[] received = new byte[4096];
            int jobs = 0;
            for (int length = socket.getInputStream().read(received);
                    length >= 0;
                    length = socket.getInputStream().read(received)) {
                ByteBuffer in = ByteBuffer.wrap(received, 0, length);
                for (Packet packet = reader.next(in); packet != null; packet = reader.next(in)) {
                    if (packet.type() == Type.SUBMIT_JOB) {
                        String handle = "H:lie:" + jobs;
                        write(socket, Type.JOB_CREATED, handle);
                        for (int i = jobs % 3; i < 2; i++) { // twice, once or not at all, always with a wrong result
                            write(socket, Type.WORK_COMPLETE, handle, "nobody's");
                        }
                        jobs++;
                    }
                }
            }
        } catch (IOException | PacketReader.BadPacket e) {
            return; // the run has ended
        }
    }

    private static void write(Socket socket, Type type, Object... arguments) throws IOException {
        for (ByteBuffer b : Packet.encode(Packet.RESPONSE, type, arguments)) {
            socket.getOutputStream().write(b.array(), b.position(), b.remaining());
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
