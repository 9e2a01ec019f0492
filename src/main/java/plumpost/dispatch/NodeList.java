package plumpost.dispatch;

/** Port to one source of route nodes; it tells the core of them by {@link DispatchCore#listed}. */
public interface NodeList {
    /** Asks for changes from now on. */
    void watch();
}
