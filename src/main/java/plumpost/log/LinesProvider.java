package plumpost.log;

import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/** The SLF4J provider: one line on standard error for each entry, as text or as one JSON object. */
public final class LinesProvider implements SLF4JServiceProvider {
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final MDCAdapter contexts = new NOPMDCAdapter();

    /** Chooses the form of lines and the name that they bear, before the first logger is asked for. */
    public static void begin(String name, boolean json) {
        Lines.begin(name, json);
        System.setProperty("slf4j.internal.verbosity", "WARN"); // it would tell of that choice first
        System.setProperty("slf4j.provider", LinesProvider.class.getName()); // else each jar is searched for one
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return Lines::new;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return contexts;
    }

    @Override
    public String getRequestedApiVersion() {
        return "2.0.99";
    }

    @Override
    public void initialize() {}
}
