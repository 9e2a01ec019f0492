package plumpost.dispatch;

import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.LoadReport;

/** Takes the end of one probe. */
public interface Probe {
    /** The probe ended; the report is null where none came. */
    void ended(Ending ending, LoadReport report);
}
