package plumpost.gearman;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One packet of Gearman's binary protocol.
 *
 * @param type the packet type
 * @param arguments the arguments, as many as the type has
 */
public record Packet(Type type, List<ByteBuffer> arguments) {

    /** Packet types, each with its number in the protocol and the number of its arguments. */
    public enum Type {
        CAN_DO(1, 1),
        CANT_DO(2, 1),
        RESET_ABILITIES(3, 0),
        PRE_SLEEP(4, 0),
        NOOP(6, 0),
        SUBMIT_JOB(7, 3),
        JOB_CREATED(8, 1),
        GRAB_JOB(9, 0),
        NO_JOB(10, 0),
        JOB_ASSIGN(11, 3),
        WORK_STATUS(12, 3),
        WORK_COMPLETE(13, 2),
        WORK_FAIL(14, 1),
        GET_STATUS(15, 1),
        ECHO_REQ(16, 1),
        ECHO_RES(17, 1),
        SUBMIT_JOB_BG(18, 3),
        ERROR(19, 2),
        STATUS_RES(20, 5),
        SUBMIT_JOB_HIGH(21, 3),
        SET_CLIENT_ID(22, 1),
        CAN_DO_TIMEOUT(23, 2),
        ALL_YOURS(24, 0),
        WORK_EXCEPTION(25, 2),
        OPTION_REQ(26, 1),
        OPTION_RES(27, 1),
        WORK_DATA(28, 2),
        WORK_WARNING(29, 2),
        GRAB_JOB_UNIQ(30, 0),
        JOB_ASSIGN_UNIQ(31, 4),
        SUBMIT_JOB_HIGH_BG(32, 3),
        SUBMIT_JOB_LOW(33, 3),
        SUBMIT_JOB_LOW_BG(34, 3),
        SUBMIT_JOB_SCHED(35, 8),
        SUBMIT_JOB_EPOCH(36, 4),
        SUBMIT_REDUCE_JOB(37, 4),
        SUBMIT_REDUCE_JOB_BACKGROUND(38, 4),
        GRAB_JOB_ALL(39, 0),
        JOB_ASSIGN_ALL(40, 5),
        GET_STATUS_UNIQUE(41, 1),
        STATUS_RES_UNIQUE(42, 6);

        private static final Map<Integer, Type> BY_CODE = new HashMap<>();

        static {
            for (Type t : values()) {
                BY_CODE.put(t.code, t);
            }
        }

        final int code;
        final int argumentCount;
        final String inCounter;
        final String outCounter;

        Type(int code, int argumentCount) {
            this.code = code;
            this.argumentCount = argumentCount;
            inCounter = "gearman.in." + name();
            outCounter = "gearman.out." + name();
        }

        /** Returns how many arguments a packet of this type has. */
        public int argumentCount() {
            return argumentCount;
        }

        /** Returns the type with this number, or null. */
        public static Type forCode(int code) {
            return BY_CODE.get(code);
        }
    }

    /** Magic code of a packet that a client or worker sends. */
    public static final int REQUEST = 0x00524551;
    /** Magic code of a packet that a server sends. */
    public static final int RESPONSE = 0x00524553;

    /** Returns an argument decoded as UTF-8. */
    public String text(int index) {
        return StandardCharsets.UTF_8.decode(arguments.get(index).duplicate()).toString();
    }

    /** Data of more bytes than this is not copied but written from a buffer of its own. */
    private static final int MAX_COPIED_BYTES = 1024;

    /** Encodes a packet into buffers to be written in order: one, and a second if its last argument is large data. */
    public static ByteBuffer[] encode(int magic, Type type, Object... arguments) {
        Object last = arguments.length == 0 ? null : arguments[arguments.length - 1];
        ByteBuffer data =
                last instanceof ByteBuffer buffer && buffer.remaining() > MAX_COPIED_BYTES ? buffer.duplicate() : null;
        byte[][] texts = new byte[arguments.length][];
        int bodySize = Math.max(0, arguments.length - 1);
        for (int i = 0; i < arguments.length; i++) {
            if (arguments[i] instanceof ByteBuffer buffer) {
                bodySize += buffer.remaining();
            } else {
                texts[i] = String.valueOf(arguments[i]).getBytes(StandardCharsets.UTF_8);
                bodySize += texts[i].length;
            }
        }
        ByteBuffer packet = ByteBuffer.allocate(12 + bodySize - (data == null ? 0 : data.remaining()));
        packet.putInt(magic).putInt(type.code).putInt(bodySize);
        for (int i = 0; i < arguments.length; i++) {
            if (i > 0) {
                packet.put((byte) 0);
            }
            if (texts[i] != null) {
                packet.put(texts[i]);
            } else if (data == null || i < arguments.length - 1) {
                packet.put(((ByteBuffer) arguments[i]).duplicate());
            }
        }
        packet.flip();
        return data == null ? new ByteBuffer[] {packet} : new ByteBuffer[] {packet, data};
    }
}
