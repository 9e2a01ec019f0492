package plumpost.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.function.Consumer;

/**
 * A file of lines to which several processes append, and which each reads as it grows. The file is bounded: a process that is
 * alone, which a lock tells, replaces it by its newer half.
 */
final class AppendOnlyFile {
    /** Files count as memory on the platform. */
    static final int MAX_BYTES = 512 * 1024;

    private static final String LOCK_SUFFIX = ".lock";
    private static final String NEW_SUFFIX = ".new";

    private final Path path;
    private FileChannel lockChannel;
    /** The shared lock that tells others that this process is there, or null. */
    private FileLock presence;

    private FileChannel writer;
    private FileChannel reader;
    private long readPosition;
    private boolean replaced;
    private final StringBuilder partialLine = new StringBuilder();

    AppendOnlyFile(Path path) {
        this.path = path;
    }

    /** Appends lines in one write, behind a line break that ends a line which another process left cut off. */
    void append(List<String> lines) throws IOException {
        open();
        if (writer.size() > MAX_BYTES) {
            replaceIfAlone();
        }
        ByteBuffer bytes =
                ByteBuffer.wrap(('\n' + String.join("\n", lines) + '\n').getBytes(StandardCharsets.US_ASCII));
        while (bytes.hasRemaining()) {
            writer.write(bytes);
        }
    }

    /** Passes the lines that were appended since the last call to a consumer; lines may be empty or cut off. */
    void readNewLines(Consumer<String> consumer) throws IOException {
        open();
        long size = reader.size();
        while (readPosition < size) {
            ByteBuffer bytes = ByteBuffer.allocate((int) Math.min(64 * 1024, size - readPosition));
            int count = reader.read(bytes, readPosition);
            if (count <= 0) {
                return;
            }
            readPosition += count;
            split(StandardCharsets.ISO_8859_1.decode(bytes.flip()), consumer);
        }
    }

    private void split(CharSequence text, Consumer<String> consumer) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) == '\n') {
                consumer.accept(partialLine.toString());
                partialLine.setLength(0);
            } else {
                partialLine.append(text.charAt(i));
            }
        }
    }

    /** Returns, once, whether the file was replaced by its newer half, which is read from its start. */
    boolean wasReplaced() {
        boolean wasReplaced = replaced;
        replaced = false;
        return wasReplaced;
    }

    private void open() throws IOException {
        if (lockChannel == null) {
            lockChannel = FileChannel.open(
                    path.resolveSibling(path.getFileName() + LOCK_SUFFIX),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.READ,
                    StandardOpenOption.WRITE);
        }
        if (presence == null) {
            presence = lock(true);
        }
        if (writer == null) {
            writer = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        }
        if (reader == null) {
            reader = FileChannel.open(path, StandardOpenOption.READ);
            readPosition = 0;
            partialLine.setLength(0);
        }
    }

    private FileLock lock(boolean shared) throws IOException {
        try {
            return shared ? lockChannel.lock(0, Long.MAX_VALUE, true) : lockChannel.tryLock(0, Long.MAX_VALUE, false);
        } catch (OverlappingFileLockException e) {
            return null; // another user of the file in this very process
        }
    }

    /** Keeps the newer half of the lines if no other process uses the file; one that starts meanwhile waits for the lock. */
    private void replaceIfAlone() throws IOException {
        if (presence == null) {
            return;
        }
        presence.release();
        presence = null;
        try (FileLock alone = lock(false)) {
            if (alone != null) {
                String text = Files.readString(path, StandardCharsets.ISO_8859_1);
                Path newer = path.resolveSibling(path.getFileName() + NEW_SUFFIX);
                Files.writeString(newer, text.substring(text.indexOf('\n', text.length() / 2)));
                Files.move(newer, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                writer.close();
                writer = null;
                reader.close();
                reader = null;
                replaced = true;
            }
        }
        open();
    }
}
