package plumpost.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import plumpost.dispatch.DispatchCore;
import plumpost.net.LoopContext;

/**
 * Hands the operators' bans over between the processes of one scheduler, through a file in the directory that they
 * share. Each process writes the whole set at each change, by a rename so that nobody reads half of it, and looks at
 * the file often enough that a ban told to the other process holds here within the grace.
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
    private String last = "";

    /** Bans kept in a file of the shared directory. */
    public SharedBans(Path directory, DispatchCore room, LoopContext kit) {
        this.file = directory.resolve(NAME);
        this.room = room;
        this.kit = kit;
    }

    /** Takes over what an earlier process left, and from now on looks at the file at intervals. */
    public void begin() {
        look();
        kit.wheel().at(kit.clock().nowMs() + LOOK_MS, this::again);
    }

    private void again() {
        look();
        kit.wheel().at(kit.clock().nowMs() + LOOK_MS, this::again);
    }

    /** Takes over the file's bans where another process has changed them since this one last read or wrote it. */
    public void look() {
        String text;
        try {
            if (Files.size(file) > MOST_BYTES) {
                kit.counters().count("bans.file_too_long");
                return;
            }
            text = Files.readString(file, StandardCharsets.US_ASCII);
        } catch (NoSuchFileException e) {
            return;
        } catch (IOException | RuntimeException e) {
            kit.counters().count("bans.file_unread");
            return;
        }
        if (!text.equals(last)) {
            last = text;
            if (room.handOver(text)) {
                kit.counters().count("bans.handed_over");
                kit.log().accept("bans handed over: " + text.replace('\n', ' ').strip());
            }
        }
    }

    /** Writes this process's bans for the other one. */
    public void write() {
        String text = room.bansText();
        Path half = file.resolveSibling(NAME + ".new");
        try {
            Files.writeString(half, text, StandardCharsets.US_ASCII);
            Files.move(half, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            last = text;
        } catch (IOException | RuntimeException e) {
            kit.counters().count("bans.file_unwritten");
            kit.log().accept("bans could not be written for the next process: " + e.getMessage());
        }
    }
}
