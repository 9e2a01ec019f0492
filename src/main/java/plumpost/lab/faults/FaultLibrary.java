package plumpost.lab.faults;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Faults of the operating system for one process under test: steps of its wall clock, hold-ups after clock reads, failing calls
 * and a failing disk. A small C library, compiled with the system's {@code cc}, is preloaded into that process and follows a
 * control file that this class writes; faults can be changed at any time.
 */
public final class FaultLibrary implements Closeable {
    /** Errors of the disk by their Linux numbers. */
    public enum DiskError {
        /** The disk works. */
        NONE(0),
        /** EIO: the device fails. */
        IO(5),
        /** EROFS: the file system has gone read-only. */
        READ_ONLY(30),
        /** ENOSPC: no space is left. */
        NO_SPACE(28);

        private final int number;

        DiskError(int number) {
            this.number = number;
        }
    }

    /** Words of the control file, in the order of {@code struct control} in fault_library.c. */
    private enum Word {
        WALL_STEP_NS,
        HOLD_UP_NS,
        HOLD_UP_GAP_NS,
        CALL_FAILURES,
        CONNECTION_FAILURES,
        DISK_ERROR,
        DISK_FAILURES,
        DISK_BYTES,
        INJECTED,
        HELD_UP,
        ACCEPT_FAILURES
    }

    private static final String SOURCE = "fault_library.c";
    private static final double MILLION = 1e6;
    private static final long COMPILE_WITHIN_S = 60;
    private static Path compiled;

    private final Path file;
    private final ByteBuffer control;
    private final Map<String, String> environment = new HashMap<>();

    /** Faults for one process, none of them on; files below {@code disk}, which may be null, are on the failing disk. */
    public FaultLibrary(Path disk) throws IOException, InterruptedException {
        file = Files.createTempFile("plumpost-faults", ".control");
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            control = channel.map(FileChannel.MapMode.READ_WRITE, 0, (long) Word.values().length * Long.BYTES)
                    .order(ByteOrder.nativeOrder());
        }
        set(Word.DISK_BYTES, -1);
        environment.put("LD_PRELOAD", library().toString());
        environment.put("FAULT_CONTROL", file.toString());
        if (disk != null) {
            environment.put("FAULT_DIRECTORY", disk.toString());
        }
    }

    /** The compiled library, made once for each process that plays faults. */
    private static synchronized Path library() throws IOException, InterruptedException {
        if (compiled != null) {
            return compiled;
        }
        Path folder = Files.createTempDirectory("plumpost-fault-library");
        Path source = folder.resolve(SOURCE);
        Path library = folder.resolve("fault_library.so");
        try (InputStream text = FaultLibrary.class.getResourceAsStream(SOURCE)) {
            Files.copy(text, source, StandardCopyOption.REPLACE_EXISTING);
        }
        Process compiler = new ProcessBuilder(
                        "cc", "-O2", "-shared", "-fPIC", "-o", library.toString(), source.toString(), "-ldl")
                .redirectErrorStream(true)
                .start();
        String said = new String(compiler.getInputStream().readAllBytes());
        if (!compiler.waitFor(COMPILE_WITHIN_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            throw new IOException("cc cannot compile " + SOURCE + ": " + said);
        }
        Files.delete(source);
        library.toFile().deleteOnExit();
        folder.toFile().deleteOnExit();
        compiled = library;
        return library;
    }

    /** What the process under test needs in its environment. */
    public Map<String, String> environment() {
        return Map.copyOf(environment);
    }

    /** Steps the wall clock to so many milliseconds from the true time; the monotonic clock runs on. */
    public void stepWallClock(double fromTrueTimeMs) {
        set(Word.WALL_STEP_NS, (long) (fromTrueTimeMs * MILLION));
    }

    /** Event loops are held up for so long after reading their clock, with at least {@code gapMs} between; 0 ends that. */
    public void holdUp(double lengthMs, double gapMs) {
        set(Word.HOLD_UP_GAP_NS, (long) (gapMs * MILLION));
        set(Word.HOLD_UP_NS, (long) (lengthMs * MILLION));
    }

    /** So large a part of network calls fails with a passing error or moves a single byte. */
    public void failCalls(double part) {
        set(Word.CALL_FAILURES, (long) (part * MILLION));
    }

    /** So large a part of calls of accept fails. */
    public void failAccepts(double part) {
        set(Word.ACCEPT_FAILURES, (long) (part * MILLION));
    }

    /** So large a part of reads and writes finds its connection broken. */
    public void breakConnections(double part) {
        set(Word.CONNECTION_FAILURES, (long) (part * MILLION));
    }

    /** So large a part of writes, syncs and renames below the disk's folder fails. */
    public void failDisk(DiskError error, double part) {
        set(Word.DISK_FAILURES, (long) (part * MILLION));
        set(Word.DISK_ERROR, error.number);
    }

    /** So many bytes may still be written below the disk's folder, the last write in part; then there is no space. */
    public void leaveDiskBytes(long bytes) {
        set(Word.DISK_BYTES, bytes);
    }

    /** Ends all faults but the wall clock's step. */
    public void calm() {
        holdUp(0, 0);
        failCalls(0);
        failAccepts(0);
        breakConnections(0);
        failDisk(DiskError.NONE, 0);
        leaveDiskBytes(-1);
    }

    /** Calls that were made to fail so far. */
    public long injected() {
        return get(Word.INJECTED);
    }

    /** Hold-ups so far. */
    public long heldUp() {
        return get(Word.HELD_UP);
    }

    private synchronized void set(Word word, long value) {
        control.putLong(word.ordinal() * Long.BYTES, value);
    }

    private synchronized long get(Word word) {
        return control.getLong(word.ordinal() * Long.BYTES);
    }

    @Override
    public void close() throws IOException {
        Files.deleteIfExists(file);
    }
}
