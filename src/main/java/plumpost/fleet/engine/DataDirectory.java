package plumpost.fleet.engine;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.util.HexFormat;
import plumpost.config.Json;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;

/**
 * A scheduler's data directory. It is locked by one process at a time, belongs to one scheduler and one fleet, and has a
 * random id that is generated when it is created. A wiped directory therefore gets a new id and cannot vote as the member
 * that it was before, whose votes and log it has lost.
 */
final class DataDirectory implements Closeable {
    private static final String IDENTITY_FILE = "member.json";
    private static final String MEMBER_MARKER = "member";
    /** Version of the directory's layout; the log's records have a format of their own. */
    private static final int LAYOUT_VERSION = 1;

    private final Path path;
    private final FileChannel lockFile;
    private final FileLock lock;
    private final String diskId;

    /**
     * Locks a directory, and creates it if it does not exist; throws {@link BadInput} if it belongs to another process,
     * scheduler or fleet, or has an unknown layout.
     */
    DataDirectory(Path path, String name, String group) throws IOException {
        this.path = path;
        try {
            Files.createDirectories(path);
            lockFile = FileChannel.open(path.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        } catch (IOException e) {
            throw new BadInput("peers.data " + path + " cannot be used: " + e);
        }
        FileLock acquired;
        try {
            acquired = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            acquired = null;
        }
        if (acquired == null) {
            lockFile.close();
            throw new BadInput("peers.data " + path + " belongs to another process that runs");
        }
        lock = acquired;
        try {
            Path identity = path.resolve(IDENTITY_FILE);
            diskId = Files.exists(identity)
                    ? readIdentity(identity, name, group)
                    : createIdentity(identity, name, group);
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private static String readIdentity(Path file, String name, String group) throws IOException {
        Fields fields = Json.object(file.toString(), Files.readAllBytes(file));
        requireSame(file, "name", fields.text("name"), name);
        requireSame(file, "group", fields.text("group"), group);
        int format = fields.integer("format");
        if (format < 1 || format > LAYOUT_VERSION) {
            throw new BadInput(file + ": field format is " + format + ", this program reads 1 to " + LAYOUT_VERSION);
        }
        return fields.text("disk");
    }

    private static void requireSame(Path file, String field, String actual, String expected) {
        if (!actual.equals(expected)) {
            throw new BadInput(file + ": field " + field + " is " + actual + ", the configuration says " + expected);
        }
    }

    private static String createIdentity(Path file, String name, String group) throws IOException {
        byte[] random = new byte[6];
        new SecureRandom().nextBytes(random);
        String diskId = HexFormat.of().formatHex(random);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = new JsonFactory().createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("name", name);
            json.writeStringField("group", group);
            json.writeStringField("disk", diskId);
            json.writeNumberField("format", LAYOUT_VERSION);
            json.writeEndObject();
        }
        Path partial = file.resolveSibling(IDENTITY_FILE + ".new");
        try (FileChannel out = FileChannel.open(
                partial, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            for (ByteBuffer buffer = ByteBuffer.wrap(bytes.toByteArray()); buffer.hasRemaining(); ) {
                out.write(buffer);
            }
            out.force(true);
        }
        Files.move(partial, file, StandardCopyOption.ATOMIC_MOVE);
        syncDirectory(file.getParent());
        return diskId;
    }

    /** Syncs a directory, so that the names of new files survive a crash as their contents do. */
    private static void syncDirectory(Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /** Returns the directory's id. */
    String diskId() {
        return diskId;
    }

    /** Records that the log names this directory as a member: from now on the log must not be missing. */
    void markMember() throws IOException {
        if (!wasMember()) {
            Files.createFile(path.resolve(MEMBER_MARKER));
            syncDirectory(path);
        }
    }

    /** Whether the log has ever named this directory as a member. */
    boolean wasMember() {
        return Files.exists(path.resolve(MEMBER_MARKER));
    }

    /** Returns the directory of the Raft log. */
    Path logPath() {
        return path.resolve("log");
    }

    @Override
    public void close() throws IOException {
        if (lock.isValid()) {
            lock.release();
        }
        lockFile.close();
    }
}
