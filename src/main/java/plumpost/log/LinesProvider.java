package plumpost.log;

import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/** SLF4J provider that prints each entry as one line on standard error, as text or as a JSON object. */
public final class LinesProvider implements SLF4JServiceProvider {
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final MDCAdapter contexts = new NOPMDCAdapter();

    /** Sets the format of the lines and the process name in them; to be called before the first logger is created. */
    public static void configure(String name, boolean json) {
        Lines.configure(name, json);
        System.setProperty("slf4j.internal.verbosity", "WARN"); // else SLF4J reports which provider it uses
        System.setProperty(
                "slf4j.provider", LinesProvider.class.getName()); // else SLF4J searches every jar for a provider
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
