package plumpost.cli;

import java.lang.reflect.Proxy;

/** Hears signals for which the Java platform has no call of its own. */
final class Signals {
    private Signals() {}

    /** SIGHUP: the configuration is to be read again. */
    static final String HANGUP = "HUP";
    /** SIGTERM: the process is to end in order. */
    static final String TERMINATE = "TERM";

    /**
     * Has something run, on a thread of the JVM's, on each signal of a name in place of the JVM's end. For SIGTERM that is sooner
     * than a shutdown hook, for which the JVM starts two threads, one after the other. Reached by reflection:
     * the compiler warns of {@code sun.misc.Signal} in a way that no annotation stops, and warnings are errors here.
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
            throw new IllegalStateException("SIG" + name + " cannot be heard", e);
        }
    }
}
