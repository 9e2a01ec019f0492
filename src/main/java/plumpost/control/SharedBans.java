package plumpost.control;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;
import plumpost.dispatch.DispatchCore;
import plumpost.net.LoopContext;

/**
 * Shares the operators' bans between the processes of one scheduler through a file in their common directory. Each process
 * writes the complete set at each change, by an atomic rename so that no reader sees a partial file, and polls the file often
 * enough that a ban set in the other process takes effect here within the allowed delay.
 *
 * <p>Writes may fail temporarily. Changes that are not in the file yet apply in this process, are not undone by what the other
 * process writes in the meantime, and are written as soon as the directory is writable again.
 */
public final class SharedBans {
    /** Interval at which the file is read: well within the 400 ms after which a banned worker must get no new jobs. */
    static final double POLL_INTERVAL_MS = 100;
    /** No set of bans is this large, so that a longer file was not written by a scheduler. */
    static final long MAX_FILE_BYTES = 1 << 20;

    static final String FILE_NAME = "plumpost-bans";

    private final Path file;
    private final DispatchCore core;
    private final LoopContext context;
    private final Outage writeOutage;
    private final Outage readOutage;
    /** Changes that are not in the file yet: worker to true if it was banned, false if its ban was lifted. */
    private final Map<String, Boolean> unwritten = new LinkedHashMap<>();

    private String lastText = "";

    /** Creates the bans that are stored in a file of the shared directory. */
    public SharedBans(Path directory, DispatchCore core, LoopContext context) {
        this.file = directory.resolve(FILE_NAME);
        this.core = core;
        this.context = context;
        this.writeOutage = new Outage("bans.file_unwritten", "bans cannot be written for the next process", context);
        this.readOutage = new Outage("bans.file_unread", "bans of the other process cannot be read", context);
    }

    /** Applies the bans that an earlier process left, and starts polling the file. */
    public void start() {
        refresh();
        context.wheel().schedule(context.clock().nowMs() + POLL_INTERVAL_MS, this::poll);
    }

    private void poll() {
        context.wheel().schedule(context.clock().nowMs() + POLL_INTERVAL_MS, this::poll);
        refresh();
        if (!unwritten.isEmpty()) {
            write();
        }
    }

    /** Applies the file's bans if another process has changed them since this one last read or wrote the file. */
    public void refresh() {
        String text;
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                readOutage.failed("over " + MAX_FILE_BYTES + " bytes");
                return;
            }
            text = Files.readString(file, StandardCharsets.US_ASCII);
        } catch (NoSuchFileException e) {
            readOutage.recovered();
            return;
        } catch (IOException | RuntimeException e) {
            readOutage.failed(e.toString());
            return;
        }
        readOutage.recovered();
        if (!text.equals(lastText)) {
            lastText = text;
            if (core.adoptBans(text)) {
                context.counters().count("bans.handed_over");
                context.log()
                        .accept("bans handed over: " + text.replace('\n', ' ').strip());
            }
            unwritten.forEach(core::applyFleetBan); // the other process does not know these yet
        }
    }

    /** Records a change made in this process and writes it to the file, now or as soon as a write succeeds. */
    public void record(String worker, boolean offline) {
        unwritten.put(worker, offline);
        write();
    }

    /** Whether the file contains all changes made here; only then may a change be acknowledged. */
    public boolean isSaved() {
        return unwritten.isEmpty();
    }

    /** Writes the changes into what the file holds now, unless the other process is writing: then the next poll tries again. */
    private void write() {
        Path partial = file.resolveSibling(FILE_NAME + ".new");
        try (FileChannel lockFile = FileChannel.open(
                        file.resolveSibling(FILE_NAME + ".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = lockFile.tryLock()) {
            if (lock == null) {
                return;
            }
            refresh(); // the other process may have written since the last poll
            String text = core.bansText();
            Files.writeString(partial, text, StandardCharsets.US_ASCII);
            Files.move(partial, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            lastText = text;
        } catch (IOException | RuntimeException e) {
            writeOutage.failed(e.toString());
            return;
        }
        writeOutage.recovered();
        unwritten.clear();
    }
}
