package plumpost;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Passes over the tests that KNOWN-RED.txt names, where CI asks for that: faults that are known and not mended yet. The file
 * has a line for each, {@code class#method: cause (issue)}, three at most; without the property every test runs.
 */
public final class KnownRed implements ExecutionCondition {
    /** The property that holds the file's path; only CI sets it. */
    private static final String PROPERTY = "plumpost.knownRed";

    private static final int MOST_LINES = 3;

    @Override
    public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
        String file = System.getProperty(PROPERTY);
        Optional<String> name = context.getTestMethod()
                .map(method -> context.getRequiredTestClass().getName() + "#" + method.getName());
        if (file == null || name.isEmpty()) {
            return ConditionEvaluationResult.enabled("not a test that may be known to fail");
        }
        try {
            var lines = Files.readAllLines(Path.of(file));
            if (lines.size() > MOST_LINES) {
                throw new IllegalStateException(file + " has " + lines.size() + " lines, at most " + MOST_LINES);
            }
            return lines.stream()
                    .filter(line -> line.startsWith(name.get() + ":"))
                    .findFirst()
                    .map(ConditionEvaluationResult::disabled)
                    .orElse(ConditionEvaluationResult.enabled("not known to fail"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
