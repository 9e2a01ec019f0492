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
 * A scheduler's data directory: it belongs to one process at a time, one scheduler, one fleet and one range of record
 * formats, and has an identity of its own, drawn when it was made. A directory that was wiped is another one: it cannot
 * pass for the voter that it was and vote with what that one knew.
 */
final class DataDirectory implements Closeable {
    private static final String IDENTITY = "member.json";
    private static final String MEMBER = "member";
    /** How the directory is laid out; the log's records have a format of their own. */
    private static final int LAYOUT = 1;

    private final Path path;
    private final FileChannel lockFile;
    private final FileLock lock;
    private final String disk;

    /** Takes a directory over, or makes it; bad input where it is another process's, scheduler's, fleet's or format's. */
    DataDirectory(Path path, String name, String group) throws IOException {
        this.path = path;
        try {
            Files.createDirectories(path);
            lockFile = FileChannel.open(path.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        } catch (IOException e) {
            throw new BadInput("peers.data " + path + " cannot be used: " + e);
        }
        FileLock got;
        try {
            got = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            got = null;
        }
        if (got == null) {
            lockFile.close();
            throw new BadInput("peers.data " + path + " belongs to another process that runs");
        }
        lock = got;
        try {
            Path identity = path.resolve(IDENTITY);
            disk = Files.exists(identity) ? read(identity, name, group) : make(identity, name, group);
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private static String read(Path file, String name, String group) throws IOException {
        Fields f = Json.object(file.toString(), Files.readAllBytes(file));
        same(file, "name", f.text("name"), name);
        same(file, "group", f.text("group"), group);
        int format = f.whole("format");
        if (format < 1 || format > LAYOUT) {
            throw new BadInput(file + ": field format is " + format + ", this program reads 1 to " + LAYOUT);
        }
        return f.text("disk");
    }

    private static void same(Path file, String field, String is, String wanted) {
        if (!is.equals(wanted)) {
            throw new BadInput(file + ": field " + field + " is " + is + ", the configuration says " + wanted);
        }
    }

    private static String make(Path file, String name, String group) throws IOException {
        byte[] random = new byte[6];
        new SecureRandom().nextBytes(random);
        String disk = HexFormat.of().formatHex(random);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try (JsonGenerator j = new JsonFactory().createGenerator(all)) {
            j.writeStartObject();
            j.writeStringField("name", name);
            j.writeStringField("group", group);
            j.writeStringField("disk", disk);
            j.writeNumberField("format", LAYOUT);
            j.writeEndObject();
        }
        Path half = file.resolveSibling(IDENTITY + ".new");
        try (FileChannel out = FileChannel.open(
                half, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            for (ByteBuffer b = ByteBuffer.wrap(all.toByteArray()); b.hasRemaining(); ) {
                out.write(b);
            }
            out.force(true);
        }
        Files.move(half, file, StandardCopyOption.ATOMIC_MOVE);
        sync(file.getParent());
        return disk;
    }

    /** A file's name must outlive a crash as surely as its content. */
    private static void sync(Path folder) throws IOException {
        try (FileChannel f = FileChannel.open(folder, StandardOpenOption.READ)) {
            f.force(true);
        }
    }

    /** Its identity. */
    String disk() {
        return disk;
    }

    /** Remembers that the log has named this directory: from now on the log must never be missing. */
    void member() throws IOException {
        if (!wasMember()) {
            Files.createFile(path.resolve(MEMBER));
            sync(path);
        }
    }

    /** Whether the log has named this directory once. */
    boolean wasMember() {
        return Files.exists(path.resolve(MEMBER));
    }

    /** Where the engine keeps its log. */
    Path log() {
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
