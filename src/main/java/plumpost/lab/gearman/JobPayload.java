package plumpost.lab.gearman;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The data of a job as sent to workers: number, service time, whether it must run at most once, and padding. */
record JobPayload(int number, int micros, boolean order) {
    static byte[] encode(int number, double ms, boolean order, int paddingBytes) {
        String head = number + ":" + Math.round(ms * 1000) + ":" + (order ? 'o' : 'p') + ':';
        return (head + "x".repeat(paddingBytes)).getBytes(StandardCharsets.US_ASCII);
    }

    static JobPayload parse(ByteBuffer data) {
        int[] parts = new int[2];
        ByteBuffer buffer = data.duplicate();
        for (int i = 0; i < 2; i++) {
            for (byte b = buffer.get(); b != ':'; b = buffer.get()) {
                parts[i] = parts[i] * 10 + b - '0';
            }
        }
        return new JobPayload(parts[0], parts[1], buffer.get() == 'o');
    }

    /** Returns the result of a job, from which a client detects a mixed result or that of another job. */
    static String result(int number) {
        return "result of " + number + " first half, and of " + number + " the other half";
    }
}
