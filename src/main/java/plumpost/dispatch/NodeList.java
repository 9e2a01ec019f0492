package plumpost.dispatch;

/** Port to one source of route nodes; it tells the core of them by {@link DispatchRoom#listed}. */
public interface NodeList {
    /** Asks for changes from now on. */
    void watch();
}
