package plumpost.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import plumpost.dispatch.RunClaims;
import plumpost.net.LoopContext;

/**
 * Claims on jobs, shared between the processes of one scheduler through a file in their common directory. A claim is a line
 * that is appended before the job's first attempt, so that it survives a kill of its process at any moment; the order of the
 * lines decides between two processes that claim the same job. A line that was cut off is skipped.
 *
 * <p>Writes may fail for a while; then a job runs under a claim that only this process knows, and its line is written as soon as
 * the directory is writable again.
 */
public final class SharedRunClaims implements RunClaims {
    static final String FILE_NAME = "plumpost-runs";

    private static final double RETRY_INTERVAL_MS = 100;
    private static final int MAX_UNWRITTEN_LINES = 10_000;
    private static final int HASH_BYTES = 16;
    /** The hash of a job's key, the process, and whether it claims the job or releases it. */
    private static final Pattern LINE = Pattern.compile("([0-9a-f]{32}) ([0-9a-f]{16}) ([cr])");

    private static final String CLAIM = "c";
    private static final String RELEASE = "r";

    private final LoopContext context;
    private final AppendOnlyFile file;
    private final Outage writeOutage;
    private final Outage readOutage;
    private final String token = HexFormat.of().toHexDigits(new SecureRandom().nextLong());
    private final MessageDigest digest;
    /** The processes that have claimed a job, by the hash of its key, in the order of their lines. */
    private final Map<String, Set<String>> claimants = new HashMap<>();

    private final List<String> unwrittenLines = new ArrayList<>();

    /** Opens the claims in a directory that the processes share, and reads those that earlier processes left. */
    public SharedRunClaims(Path directory, LoopContext context) {
        this.context = context;
        this.file = new AppendOnlyFile(directory.resolve(FILE_NAME));
        this.writeOutage =
                new Outage("claims.file_unwritten", "claims cannot be written for the next process", context);
        this.readOutage = new Outage("claims.file_unread", "claims of the other process cannot be read", context);
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        readNewLines();
        context.wheel().schedule(context.clock().nowMs() + RETRY_INTERVAL_MS, this::retryWriting);
    }

    @Override
    public boolean claim(String uniqueKey) {
        String hash = hash(uniqueKey);
        append(hash, CLAIM);
        readNewLines();
        Set<String> holders = claimants.get(hash);
        boolean granted = holders == null || holders.iterator().next().equals(token);
        if (!granted) {
            append(hash, RELEASE);
        }
        return granted;
    }

    @Override
    public void release(String uniqueKey) {
        append(hash(uniqueKey), RELEASE);
    }

    @Override
    public boolean isClaimedElsewhere(String uniqueKey) {
        readNewLines();
        Set<String> holders = claimants.get(hash(uniqueKey));
        return holders != null && !holders.equals(Set.of(token));
    }

    private String hash(String uniqueKey) {
        byte[] bytes = digest.digest(uniqueKey.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(bytes, 0, HASH_BYTES);
    }

    private void append(String hash, String action) {
        if (unwrittenLines.size() < MAX_UNWRITTEN_LINES) {
            unwrittenLines.add(hash + ' ' + token + ' ' + action);
        } else {
            context.counters().count("claims.dropped");
        }
        write();
    }

    private void write() {
        try {
            file.append(unwrittenLines);
            unwrittenLines.clear();
            writeOutage.recovered();
        } catch (IOException e) {
            writeOutage.failed(e.toString());
        }
    }

    private void retryWriting() {
        context.wheel().schedule(context.clock().nowMs() + RETRY_INTERVAL_MS, this::retryWriting);
        if (!unwrittenLines.isEmpty()) {
            write();
        }
    }

    private void readNewLines() {
        try {
            if (file.wasReplaced()) {
                claimants.clear();
            }
            file.readNewLines(this::apply);
            readOutage.recovered();
        } catch (IOException e) {
            readOutage.failed(e.toString());
        }
    }

    private void apply(String line) {
        var matcher = LINE.matcher(line);
        if (!matcher.matches()) {
            return; // the line was cut off
        }
        String hash = matcher.group(1);
        if (matcher.group(3).equals(CLAIM)) {
            claimants.computeIfAbsent(hash, key -> new LinkedHashSet<>(2)).add(matcher.group(2));
            return;
        }
        Set<String> holders = claimants.get(hash);
        if (holders != null && holders.remove(matcher.group(2)) && holders.isEmpty()) {
            claimants.remove(hash);
        }
    }
}
