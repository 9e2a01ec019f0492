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
 * Skips the tests listed in KNOWN-RED.txt, which fail because of known faults that are not fixed yet. The file has one
 * line per test, {@code class#method: cause (issue)}, and at most three lines. Without the property every test runs.
 */
public final class KnownRed implements ExecutionCondition {
    /** System property with the path of the file; only CI sets it. */
    private static final String PROPERTY = "plumpost.knownRed";

    private static final int MAX_LINES = 3;

    @Override
    public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
        String file = System.getProperty(PROPERTY);
        Optional<String> name = context.getTestMethod()
                .map(method -> context.getRequiredTestClass().getName() + "#" + method.getName());
        if (file == null || name.isEmpty()) {
            return ConditionEvaluationResult.enabled("no list of known failures, or not a test method");
        }
        try {
            var lines = Files.readAllLines(Path.of(file));
            if (lines.size() > MAX_LINES) {
                throw new IllegalStateException(file + " has " + lines.size() + " lines; the maximum is " + MAX_LINES);
            }
            return lines.stream()
                    .filter(line -> line.startsWith(name.get() + ":"))
                    .findFirst()
                    .map(ConditionEvaluationResult::disabled)
                    .orElse(ConditionEvaluationResult.enabled("not a known failure"));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
