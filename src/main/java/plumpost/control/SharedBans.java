package plumpost.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashMap;
import java.util.Map;
import plumpost.dispatch.DispatchCore;
import plumpost.net.LoopContext;

/**
 * Hands the operators' bans over between the processes of one scheduler, through a file in the directory that they
 * share. Each process writes the whole set at each change, by a rename so that nobody reads half of it, and looks at
 * the file often enough that a ban told to the other process holds here within the grace.
 *
 * <p>Writes may fail for a while. Changes that are not in the file yet hold here, are not undone by what the other process
 * writes meanwhile, and are written as soon as the directory takes them.
 */
public final class SharedBans {
    /** How often the file is looked at: well within the 400 ms in which a node must get nothing new. */
    static final double POLL_INTERVAL_MS = 100;
    /** More than any set of bans can fill: what is longer was not written by a scheduler. */
    static final long MAX_FILE_BYTES = 1 << 20;

    static final String FILE_NAME = "plumpost-bans";

    private final Path file;
    private final DispatchCore core;
    private final LoopContext context;
    private final Outage writeOutage;
    private final Outage readOutage;
    /** Changes that the file does not hold yet: whether each worker was taken out or called back. */
    private final Map<String, Boolean> unwritten = new LinkedHashMap<>();

    private String lastText = "";

    /** Bans kept in a file of the shared directory. */
    public SharedBans(Path directory, DispatchCore core, LoopContext context) {
        this.file = directory.resolve(FILE_NAME);
        this.core = core;
        this.context = context;
        this.writeOutage = new Outage("bans.file_unwritten", "bans cannot be written for the next process", context);
        this.readOutage = new Outage("bans.file_unread", "bans of the other process cannot be read", context);
    }

    /** Takes over what an earlier process left, and from now on looks at the file at intervals. */
    public void start() {
        refresh();
        context.wheel().at(context.clock().nowMs() + POLL_INTERVAL_MS, this::poll);
    }

    private void poll() {
        context.wheel().at(context.clock().nowMs() + POLL_INTERVAL_MS, this::poll);
        refresh();
        if (!unwritten.isEmpty()) {
            write();
        }
    }

    /** Takes over the file's bans where another process has changed them since this one last read or wrote it. */
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
            if (core.handOver(text)) {
                context.counters().count("bans.handed_over");
                context.log()
                        .accept("bans handed over: " + text.replace('\n', ' ').strip());
            }
            unwritten.forEach(core::banned); // the other process did not know of these
        }
    }

    /** A worker was taken out here or called back: writes that for the other process, now or as soon as that works. */
    public void record(String worker, boolean offline) {
        unwritten.put(worker, offline);
        write();
    }

    /** Whether the file holds all that was changed here; only then is a change acknowledged. */
    public boolean isSaved() {
        return unwritten.isEmpty();
    }

    private void write() {
        String text = core.bansText();
        Path partial = file.resolveSibling(FILE_NAME + ".new");
        try {
            Files.writeString(partial, text, StandardCharsets.US_ASCII);
            Files.move(partial, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException | RuntimeException e) {
            writeOutage.failed(e.toString());
            return;
        }
        writeOutage.recovered();
        lastText = text;
        unwritten.clear();
    }
}
