package plumpost.net;

import java.io.IOException;
import java.util.Locale;

/** Names of I/O errors for counters and logs. */
final class IoErrors {
    private static final int MAX_NAME_LENGTH = 40;

    private IoErrors() {}

    /**
     * Returns an I/O error as part of a counter's name, such as {@code connection_reset_by_peer}. The JDK reports the system's
     * error only in its message.
     */
    static String name(IOException error) {
        String text = error.getMessage() == null ? error.getClass().getSimpleName() : error.getMessage();
        String name = text.toLowerCase(Locale.ROOT).replaceAll("[^a-z]+", "_");
        return name.substring(0, Math.min(name.length(), MAX_NAME_LENGTH));
    }
}
