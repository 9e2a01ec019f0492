package plumpost.dispatch;

/** Port to one source of route nodes; it reports them to the core by {@link DispatchCore#applyList}. */
public interface NodeList {
    /** Starts watching the source for changes. */
    void watch();
}
