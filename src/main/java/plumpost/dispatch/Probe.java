package plumpost.dispatch;

import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.LoadReport;

/** Receives the end of one probe. */
public interface Probe {
    /** Reports that the probe ended; the load report is null if none was received. */
    void ended(Ending ending, LoadReport report);
}
