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

/** A server that breaks the rules on purpose: every third answer is lost, given twice, or another job's. */
final class LyingServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());

    LyingServer() throws IOException {
        Thread thread = new Thread(this::serve, "lying-server");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void serve() {
        PacketReader reader = new PacketReader(Packet.REQUEST, false, 1 << 20);
        try (Socket s = listener.accept()) {
            byte[] some = new byte[4096];
            int jobs = 0;
            for (int n = s.getInputStream().read(some);
                    n >= 0;
                    n = s.getInputStream().read(some)) {
                ByteBuffer in = ByteBuffer.wrap(some, 0, n);
                for (Packet p = reader.next(in); p != null; p = reader.next(in)) {
                    if (p.type() == Type.SUBMIT_JOB) {
                        String handle = "H:lie:" + jobs;
                        write(s, Type.JOB_CREATED, handle);
                        for (int i = jobs % 3; i < 2; i++) { // twice, once or not at all, and never the right result
                            write(s, Type.WORK_COMPLETE, handle, "nobody's");
                        }
                        jobs++;
                    }
                }
            }
        } catch (IOException | PacketReader.BadPacket e) {
            return; // the run has ended
        }
    }

    private static void write(Socket s, Type type, Object... arguments) throws IOException {
        for (ByteBuffer b : Packet.bytes(Packet.RESPONSE, type, arguments)) {
            s.getOutputStream().write(b.array(), b.position(), b.remaining());
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
