import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A blocking Gearman connection, by the public protocol. */
final class Gearman implements AutoCloseable {
    static final int CAN_DO = 1;
    static final int PRE_SLEEP = 4;
    static final int NOOP = 6;
    static final int SUBMIT_JOB = 7;
    static final int JOB_CREATED = 8;
    static final int GRAB_JOB = 9;
    static final int NO_JOB = 10;
    static final int JOB_ASSIGN = 11;
    static final int WORK_STATUS = 12;
    static final int WORK_COMPLETE = 13;
    static final int WORK_FAIL = 14;
    static final int GET_STATUS = 15;
    static final int SUBMIT_JOB_BG = 18;
    static final int ERROR = 19;
    static final int STATUS_RES = 20;
    static final int SET_CLIENT_ID = 22;
    static final int WORK_EXCEPTION = 25;
    static final int SUBMIT_JOB_EPOCH = 36;

    private static final Map<Integer, String> NAMES = Map.ofEntries(
            Map.entry(NOOP, "NOOP"),
            Map.entry(JOB_CREATED, "JOB_CREATED"),
            Map.entry(NO_JOB, "NO_JOB"),
            Map.entry(JOB_ASSIGN, "JOB_ASSIGN"),
            Map.entry(WORK_STATUS, "WORK_STATUS"),
            Map.entry(WORK_COMPLETE, "WORK_COMPLETE"),
            Map.entry(WORK_FAIL, "WORK_FAIL"),
            Map.entry(ERROR, "ERROR"),
            Map.entry(STATUS_RES, "STATUS_RES"),
            Map.entry(WORK_EXCEPTION, "WORK_EXCEPTION"));
    /** How many arguments a packet has where that is more than one. */
    private static final Map<Integer, Integer> ARGUMENTS =
            Map.of(JOB_ASSIGN, 3, WORK_COMPLETE, 2, ERROR, 2, STATUS_RES, 5, WORK_STATUS, 3, WORK_EXCEPTION, 2);

    record Packet(int type, String[] arguments) {
        String name() {
            return NAMES.getOrDefault(type, "packet " + type);
        }

        @Override
        public String toString() {
            return name() + ' ' + String.join(" ", arguments);
        }
    }

    private final Socket socket = new Socket();
    private final DataInputStream in;

    Gearman(int port, int timeoutMs) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        socket.setSoTimeout(timeoutMs);
        in = new DataInputStream(socket.getInputStream());
    }

    static byte[] encode(int type, String... arguments) {
        byte[] body = String.join("\0", arguments).getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(12 + body.length)
                .put("\0REQ".getBytes(StandardCharsets.US_ASCII))
                .putInt(type)
                .putInt(body.length)
                .put(body)
                .array();
    }

    void send(int type, String... arguments) throws IOException {
        write(encode(type, arguments));
    }

    void write(byte[] bytes) throws IOException {
        synchronized (socket) {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }
    }

    /** The next packet; throws at the end of the connection and at the time limit. */
    Packet next() throws IOException {
        byte[] magic = new byte[4];
        in.readFully(magic);
        int type = in.readInt();
        byte[] body = new byte[in.readInt()];
        in.readFully(body);
        if (body.length == 0) {
            return new Packet(type, new String[0]);
        }
        return new Packet(
                type, new String(body, StandardCharsets.UTF_8).split("\0", ARGUMENTS.getOrDefault(type, 1)));
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // broken already
        }
    }
}
