import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A peer of the Gearman protocol: packets over one connection, and a sound worker. */
final class Gearman implements Closeable {
    static final int CAN_DO = 1;
    static final int PRE_SLEEP = 4;
    static final int NOOP = 6;
    static final int SUBMIT_JOB = 7;
    static final int JOB_CREATED = 8;
    static final int NO_JOB = 10;
    static final int WORK_STATUS = 12;
    static final int WORK_COMPLETE = 13;
    static final int WORK_FAIL = 14;
    static final int GET_STATUS = 15;
    static final int SUBMIT_JOB_BG = 18;
    static final int ERROR = 19;
    static final int STATUS_RES = 20;
    static final int SET_CLIENT_ID = 22;
    static final int WORK_EXCEPTION = 25;
    static final int WORK_DATA = 28;
    static final int GRAB_JOB_UNIQ = 30;
    static final int JOB_ASSIGN_UNIQ = 31;
    static final int SUBMIT_JOB_EPOCH = 36;

    /** A packet that the server sent. */
    record Packet(int type, List<byte[]> arguments) {
        String text(int index) {
            return new String(arguments.get(index), StandardCharsets.UTF_8);
        }
    }

    private static int argumentCount(int type) {
        return switch (type) {
            case NOOP, NO_JOB -> 0;
            case JOB_CREATED, WORK_FAIL -> 1;
            case WORK_STATUS -> 3;
            case JOB_ASSIGN_UNIQ -> 4;
            case STATUS_RES -> 5;
            default -> 2;
        };
    }

    private final Socket socket = new Socket();
    private final DataInputStream in;
    private final DataOutputStream out;

    Gearman(int port) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), 1 << 16));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Sends a request packet; its arguments are texts or bytes. */
    synchronized void send(int type, Object... arguments) throws IOException {
        int size = Math.max(0, arguments.length - 1);
        List<byte[]> parts = new ArrayList<>();
        for (Object argument : arguments) {
            byte[] part = argument instanceof byte[] given ? given : bytes(argument.toString());
            parts.add(part);
            size += part.length;
        }
        out.writeInt(0x00524551);
        out.writeInt(type);
        out.writeInt(size);
        for (int i = 0; i < parts.size(); i++) {
            if (i > 0) {
                out.writeByte(0);
            }
            out.write(parts.get(i));
        }
        out.flush();
    }

    /** Reads the next packet; null at the end of the connection or after the given time. */
    Packet read(double timeoutMs) throws IOException {
        try {
            socket.setSoTimeout((int) Math.max(1, timeoutMs));
            in.mark(1);
            if (in.readInt() != 0x00524553) {
                throw new IOException("no packet");
            }
            socket.setSoTimeout(30_000);
            int type = in.readInt();
            byte[] body = new byte[in.readInt()];
            in.readFully(body);
            List<byte[]> arguments = new ArrayList<>();
            int count = argumentCount(type);
            int from = 0;
            for (int i = 0; i < count; i++) {
                int to = from;
                while (to < body.length && (i == count - 1 || body[to] != 0)) {
                    to++;
                }
                arguments.add(java.util.Arrays.copyOfRange(body, from, to));
                from = Math.min(body.length, to + 1);
            }
            return new Packet(type, arguments);
        } catch (SocketTimeoutException | java.io.EOFException | java.net.SocketException e) {
            return null;
        }
    }

    /** Submits a job and returns its handle, or null with the reason in the record. */
    String submit(int type, String function, String unique, byte[] data) throws IOException {
        send(type, function, unique, data);
        Packet packet = read(10_000);
        return packet != null && packet.type() == JOB_CREATED ? packet.text(0) : null;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // it is closed in any case
        }
    }

    /** Runs a job; returns its result, or null where the worker says nothing (yet). */
    interface Handler {
        byte[] run(Gearman connection, String handle, String function, String unique, byte[] data) throws Exception;
    }

    /** A sound worker: grabs, sleeps, wakes up and grabs again, one job at a time, until its connection ends. */
    static Gearman worker(int port, String clientId, List<String> functions, Handler handler) throws IOException {
        Gearman connection = new Gearman(port);
        connection.send(SET_CLIENT_ID, clientId);
        for (String function : functions) {
            connection.send(CAN_DO, function);
        }
        Thread thread = new Thread(
                () -> {
                    try {
                        connection.send(GRAB_JOB_UNIQ);
                        for (Packet packet = connection.read(600_000); packet != null; packet = connection.read(600_000)) {
                            if (packet.type() == NO_JOB) {
                                connection.send(PRE_SLEEP);
                            } else if (packet.type() == NOOP) {
                                connection.send(GRAB_JOB_UNIQ);
                            } else if (packet.type() == JOB_ASSIGN_UNIQ) {
                                byte[] result = handler.run(
                                        connection,
                                        packet.text(0),
                                        packet.text(1),
                                        packet.text(2),
                                        packet.arguments().get(3));
                                if (result != null) {
                                    connection.send(WORK_COMPLETE, packet.text(0), result);
                                    connection.send(GRAB_JOB_UNIQ);
                                }
                            }
                        }
                    } catch (Exception e) {
                        // its connection has ended
                    }
                },
                "worker " + clientId);
        thread.setDaemon(true);
        thread.start();
        return connection;
    }
}
