package plumpost.lab.gearman;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A job's data as it travels: its number, how long it takes, whether it must not run twice, and filling. */
record Work(int number, int micros, boolean order) {
    static byte[] bytes(int number, double ms, boolean order, int filling) {
        String head = number + ":" + Math.round(ms * 1000) + ":" + (order ? 'o' : 'p') + ':';
        return (head + "x".repeat(filling)).getBytes(StandardCharsets.US_ASCII);
    }

    static Work of(ByteBuffer data) {
        int[] parts = new int[2];
        ByteBuffer in = data.duplicate();
        for (int i = 0; i < 2; i++) {
            for (byte b = in.get(); b != ':'; b = in.get()) {
                parts[i] = parts[i] * 10 + b - '0';
            }
        }
        return new Work(parts[0], parts[1], in.get() == 'o');
    }

    /** The whole result of a job, by which a client knows that it got that of its own job, unmixed. */
    static String result(int number) {
        return "result of " + number + " first half, and of " + number + " the other half";
    }
}
