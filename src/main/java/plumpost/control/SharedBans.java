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
    static final double LOOK_MS = 100;
    /** More than any set of bans can fill: what is longer was not written by a scheduler. */
    static final long MOST_BYTES = 1 << 20;

    static final String NAME = "plumpost-bans";

    private final Path file;
    private final DispatchCore room;
    private final LoopContext kit;
    private final Outage writing;
    private final Outage reading;
    /** Changes that the file does not hold yet: whether each worker was taken out or called back. */
    private final Map<String, Boolean> unwritten = new LinkedHashMap<>();

    private String last = "";

    /** Bans kept in a file of the shared directory. */
    public SharedBans(Path directory, DispatchCore room, LoopContext kit) {
        this.file = directory.resolve(NAME);
        this.room = room;
        this.kit = kit;
        this.writing = new Outage("bans.file_unwritten", "bans cannot be written for the next process", kit);
        this.reading = new Outage("bans.file_unread", "bans of the other process cannot be read", kit);
    }

    /** Takes over what an earlier process left, and from now on looks at the file at intervals. */
    public void begin() {
        look();
        kit.wheel().at(kit.clock().nowMs() + LOOK_MS, this::again);
    }

    private void again() {
        kit.wheel().at(kit.clock().nowMs() + LOOK_MS, this::again);
        look();
        if (!unwritten.isEmpty()) {
            write();
        }
    }

    /** Takes over the file's bans where another process has changed them since this one last read or wrote it. */
    public void look() {
        String text;
        try {
            if (Files.size(file) > MOST_BYTES) {
                reading.began("over " + MOST_BYTES + " bytes");
                return;
            }
            text = Files.readString(file, StandardCharsets.US_ASCII);
        } catch (NoSuchFileException e) {
            reading.ended();
            return;
        } catch (IOException | RuntimeException e) {
            reading.began(e.toString());
            return;
        }
        reading.ended();
        if (!text.equals(last)) {
            last = text;
            if (room.handOver(text)) {
                kit.counters().count("bans.handed_over");
                kit.log().accept("bans handed over: " + text.replace('\n', ' ').strip());
            }
            unwritten.forEach(room::banned); // the other process did not know of these
        }
    }

    /** A worker was taken out here or called back: writes that for the other process, now or as soon as that works. */
    public void changed(String worker, boolean out) {
        unwritten.put(worker, out);
        write();
    }

    /** Whether the file holds all that was changed here; only then is a change acknowledged. */
    public boolean kept() {
        return unwritten.isEmpty();
    }

    private void write() {
        String text = room.bansText();
        Path half = file.resolveSibling(NAME + ".new");
        try {
            Files.writeString(half, text, StandardCharsets.US_ASCII);
            Files.move(half, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException | RuntimeException e) {
            writing.began(e.toString());
            return;
        }
        writing.ended();
        last = text;
        unwritten.clear();
    }
}
