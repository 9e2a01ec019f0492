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
 * Injects faults of the operating system into one process under test: wall-clock steps, pauses after clock reads, failing
 * network calls and a failing disk. A small C library, compiled with the system's {@code cc}, is preloaded into the process
 * and reads a memory-mapped control file that this class writes, so faults can be changed at any time.
 */
public final class FaultLibrary implements Closeable {
    /** Disk errors with their Linux error numbers. */
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

    /** 64-bit words of the control file, in the order of {@code struct control} in fault_library.c. */
    private enum ControlWord {
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
    private static final long COMPILE_TIMEOUT_S = 60;
    private static Path compiled;

    private final Path controlFile;
    private final ByteBuffer control;
    private final Map<String, String> environment = new HashMap<>();

    /** Prepares faults for one process, all off; disk faults affect files below {@code disk}, or none if that is null. */
    public FaultLibrary(Path disk) throws IOException, InterruptedException {
        controlFile = Files.createTempFile("plumpost-faults", ".control");
        try (FileChannel channel = FileChannel.open(controlFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            control = channel.map(FileChannel.MapMode.READ_WRITE, 0, (long) ControlWord.values().length * Long.BYTES)
                    .order(ByteOrder.nativeOrder());
        }
        set(ControlWord.DISK_BYTES, -1);
        environment.put("LD_PRELOAD", library().toString());
        environment.put("FAULT_CONTROL", controlFile.toString());
        if (disk != null) {
            environment.put("FAULT_DIRECTORY", disk.toString());
        }
    }

    /** Returns the compiled library, compiling it on the first call in this process. */
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
        String output = new String(compiler.getInputStream().readAllBytes());
        if (!compiler.waitFor(COMPILE_TIMEOUT_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            throw new IOException("cc cannot compile " + SOURCE + ": " + output);
        }
        Files.delete(source);
        library.toFile().deleteOnExit();
        folder.toFile().deleteOnExit();
        compiled = library;
        return library;
    }

    /** Returns the environment variables with which the process under test must be started. */
    public Map<String, String> environment() {
        return Map.copyOf(environment);
    }

    /** Offsets the wall clock from the true time by this many milliseconds; the monotonic clock is unaffected. */
    public void stepWallClock(double fromTrueTimeMs) {
        set(ControlWord.WALL_STEP_NS, (long) (fromTrueTimeMs * MILLION));
    }

    /** Pauses event loops for {@code lengthMs} after a clock read, at least {@code gapMs} apart; length 0 ends that. */
    public void holdUp(double lengthMs, double gapMs) {
        set(ControlWord.HOLD_UP_GAP_NS, (long) (gapMs * MILLION));
        set(ControlWord.HOLD_UP_NS, (long) (lengthMs * MILLION));
    }

    /** Makes a share of network calls fail with a transient error or transfer a single byte; 0 to 1. */
    public void failCalls(double share) {
        set(ControlWord.CALL_FAILURES, (long) (share * MILLION));
    }

    /** Makes a share of accept calls fail; 0 to 1. */
    public void failAccepts(double share) {
        set(ControlWord.ACCEPT_FAILURES, (long) (share * MILLION));
    }

    /** Makes a share of reads and writes on connections break the connection; 0 to 1. */
    public void breakConnections(double share) {
        set(ControlWord.CONNECTION_FAILURES, (long) (share * MILLION));
    }

    /** Makes a share of writes, syncs and renames below the disk's folder fail with an error; 0 to 1. */
    public void failDisk(DiskError error, double share) {
        set(ControlWord.DISK_FAILURES, (long) (share * MILLION));
        set(ControlWord.DISK_ERROR, error.number);
    }

    /** Limits the bytes still to be written below the disk's folder: one write is cut short, later ones fail; -1 for none. */
    public void limitDiskBytes(long bytes) {
        set(ControlWord.DISK_BYTES, bytes);
    }

    /** Ends all faults except the offset of the wall clock. */
    public void clearFaults() {
        holdUp(0, 0);
        failCalls(0);
        failAccepts(0);
        breakConnections(0);
        failDisk(DiskError.NONE, 0);
        limitDiskBytes(-1);
    }

    /** Returns how many calls were made to fail so far. */
    public long injectedFailures() {
        return get(ControlWord.INJECTED);
    }

    /** Returns how many pauses of event loops there were so far. */
    public long holdUps() {
        return get(ControlWord.HELD_UP);
    }

    private synchronized void set(ControlWord word, long value) {
        control.putLong(word.ordinal() * Long.BYTES, value);
    }

    private synchronized long get(ControlWord word) {
        return control.getLong(word.ordinal() * Long.BYTES);
    }

    @Override
    public void close() throws IOException {
        Files.deleteIfExists(controlFile);
    }
}
