package plumpost.net;

import java.nio.channels.SelectionKey;

/** Handles the events of one channel that the selector reports. */
interface ReadyHandler {
    /** Called when the channel is ready for an operation in which it is interested. */
    void onReady(SelectionKey key);
}
