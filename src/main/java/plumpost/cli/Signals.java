package plumpost.cli;

import java.lang.reflect.Proxy;

/** Installs handlers for signals, for which the Java platform has no public API. */
final class Signals {
    private Signals() {}

    /** SIGHUP: reload the configuration. */
    static final String HANGUP = "HUP";
    /** SIGTERM: shut down in order. */
    static final String TERMINATE = "TERM";

    /**
     * Runs an action on a JVM thread at each signal of the given name, instead of the JVM's default action. For SIGTERM that is
     * faster than a shutdown hook, for which the JVM starts two threads one after the other. Uses reflection because the
     * compiler's warning on {@code sun.misc.Signal} cannot be suppressed, and warnings are errors in this build.
     */
    static void handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handles = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        action.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), handles);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIG" + name + " cannot be handled", e);
        }
    }
}
