package plumpost.platform;

import plumpost.dispatch.DispatchCore;
import plumpost.http.RequestReader;
import plumpost.net.Connection;
import plumpost.net.LoopContext;

/** Counts and logs why requests of one client are rejected and why its connection is closed. */
final class ClientEvents {
    /** Characters of a rejection's detail that are logged; it may hold a value that the client sent. */
    private static final int MAX_LOGGED_DETAIL = 200;

    private final DispatchCore core;
    private final LoopContext context;
    private final Connection connection;

    ClientEvents(DispatchCore core, LoopContext context, Connection connection) {
        this.core = core;
        this.context = context;
        this.connection = connection;
    }

    /** Records that the request which has been read so far is rejected. */
    void rejected(RequestReader request, int status, RejectReason reason, String detail) {
        context.counters().count("front.bad." + status);
        context.counters().count("front.rejected." + reason.word());
        if (core.requestLog().isEnabled()) {
            String id = request.hasHead() ? JobRequestReader.loggableId(request.head()) : "-";
            String shownDetail = detail.substring(0, Math.min(MAX_LOGGED_DETAIL, detail.length()));
            core.requestLog()
                    .event(
                            id,
                            "rejected",
                            "status=" + status + " reason=" + reason.word() + " peer=" + connection.peer() + " detail="
                                    + shownDetail);
        }
    }

    /** Records that this process closes the connection, for a reason in one word, while it serves a job or {@code "-"}. */
    void closed(String jobId, String reason) {
        if (core.requestLog().isEnabled()) {
            core.requestLog().event(jobId, "closed", "by=" + reason + " peer=" + connection.peer());
        }
    }
}
