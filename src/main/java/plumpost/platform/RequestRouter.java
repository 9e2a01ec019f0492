package plumpost.platform;

import plumpost.config.Json.BadInput;
import plumpost.decision.Dispatcher.JobClass;
import plumpost.dispatch.DispatchCore;
import plumpost.dispatch.JobSpec;
import plumpost.http.RequestReader;
import plumpost.net.LoopContext;

/** Decides what becomes of a complete request of one client: a call about the scheduler, a job, or an error. */
final class RequestRouter {
    private final HttpFront front;
    private final DispatchCore core;
    private final LoopContext context;
    private final ClientConnection client;

    RequestRouter(HttpFront front, DispatchCore core, LoopContext context, ClientConnection client) {
        this.front = front;
        this.core = core;
        this.context = context;
        this.client = client;
    }

    /** Answers a request or submits it as a job; {@code unreadMs} is how long it may have waited before it was read. */
    void handle(RequestReader request, double unreadMs) {
        String path = request.path();
        switch (path) {
            case "/health/ready" -> answerGet(request, () -> client.answerCall(front.reportsReady() ? 200 : 503, ""));
            case "/health/live" -> answerGet(request, () -> client.answerCall(200, ""));
            case "/counters" ->
                answerGet(
                        request, () -> client.answerCall(200, context.counters().toString()));
            default -> handleJob(request, unreadMs);
        }
    }

    private void answerGet(RequestReader request, Runnable answer) {
        if (request.method().equals("GET")) {
            answer.run();
        } else {
            client.rejectMethod("GET");
        }
    }

    /** Returns the index of the class that a request's path names, or -1 if none is offered under that name. */
    private int classOf(RequestReader request) {
        String path = request.path();
        int end = path.indexOf('/', 1);
        return core.findOfferedClass(path.substring(1, end < 0 ? path.length() : end));
    }

    /**
     * Returns whether a request, whose head is complete, has the id of one that is open or may have run: then it must not be
     * refused, which would invite another try.
     */
    boolean hasKnownId(RequestReader request) {
        int classIndex = classOf(request);
        String uniqueKey = JobRequestReader.uniqueKey(request);
        return classIndex >= 0 && uniqueKey != null && core.isKnown(uniqueKey, classIndex);
    }

    private void handleJob(RequestReader request, double unreadMs) {
        int classIndex = classOf(request);
        if (classIndex < 0) {
            client.reject(404, RejectReason.UNKNOWN_CLASS, "no such class");
        } else if (!request.method().equals("POST")) {
            client.rejectMethod("POST");
        } else {
            submit(request, classIndex, unreadMs);
        }
    }

    private void submit(RequestReader request, int classIndex, double unreadMs) {
        JobSpec job;
        try {
            JobClass jobClass = core.settings().classes().get(classIndex);
            job = JobRequestReader.read(request, classIndex, jobClass, unreadMs);
        } catch (BadInput e) {
            client.reject(400, RejectReason.MALFORMED_FIELD, "malformed field: " + e.getMessage());
            return;
        }
        if (core.isKnown(job)) {
            client.rejectedAsKnown();
        } else if (front.refusesJobs()) {
            context.counters().count("front.after_last_call");
            client.refused(0);
        } else {
            client.submit(job);
        }
    }
}
