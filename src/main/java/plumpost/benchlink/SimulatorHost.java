package plumpost.benchlink;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import plumpost.config.Json;
import plumpost.config.SettingsReader;
import plumpost.decision.Dispatcher;
import plumpost.decision.Logic;

/**
 * Connects dispatchers to a simulator over JSON lines. Each batch of events gets one reply, which holds the actions of the
 * instances that the events were for. All decisions are made by the instances.
 */
public final class SimulatorHost {
    private final JsonParser in;
    private final OutputStream out;
    private final PrintStream err;
    private final ByteArrayOutputStream reply = new ByteArrayOutputStream(1 << 16);
    private final JsonGenerator json;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private boolean failed;

    /** An instance, and whether its load reports tell free slots. */
    private record Instance(Logic logic, boolean freeSlots) {}

    /** Creates a host that reads batches from {@code in}, writes replies to {@code out} and errors to {@code err}. */
    public SimulatorHost(InputStream in, OutputStream out, PrintStream err) throws IOException {
        this.in = Json.FACTORY.createParser(in);
        this.out = out;
        this.err = err;
        json = Json.FACTORY.createGenerator(reply);
        json.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
    }

    /** Answers batches until the input ends. Returns the exit code: 0, or 1 after an error message. */
    public int run() {
        try {
            while (in.nextToken() != null) {
                handleBatch(readMessage("beginBatch"));
                if (failed) {
                    return 1;
                }
            }
            return 0;
        } catch (Json.BadInput e) {
            err.println("plumpost: " + e.getMessage());
        } catch (JsonProcessingException e) {
            err.println("plumpost: input is not JSON: " + e.getOriginalMessage() + " at line "
                    + (e.getLocation() == null ? "?" : e.getLocation().getLineNr()));
        } catch (IOException e) {
            err.println("plumpost: connection to the simulator failed: " + e.getMessage());
        }
        return 1;
    }

    /** Reads the object at the parser's position; {@code where} names it in error messages if it has no type. */
    private Json.Fields readMessage(String where) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new Json.BadInput(where + ": a line is not a JSON object");
        }
        @SuppressWarnings("unchecked")
        Map<String, Object> map = (Map<String, Object>) Json.value(in);
        Object type = map.get("event_type");
        return new Json.Fields(type instanceof String text ? text : where, map);
    }

    /** Handles the events of a batch up to yourTurn, then writes the reply. */
    private void handleBatch(Json.Fields head) throws IOException {
        if (!head.text("event_type").equals("beginBatch")) {
            throw new Json.BadInput(head.context() + ": expected beginBatch");
        }
        double now = head.number("tsMs");
        long seq = head.longInteger("seq");
        reply.reset();
        while (true) {
            if (in.nextToken() == null) {
                throw new Json.BadInput("input ended inside batch " + seq + ", before yourTurn");
            }
            Json.Fields event = readMessage("an event of batch " + seq);
            String type = event.text("event_type");
            if (type.equals("yourTurn")) {
                break;
            }
            if (!failed) {
                handleEvent(type, event, now);
            }
        }
        json.writeStartObject();
        json.writeStringField("event_type", "next");
        json.writeNumberField("seq", seq);
        json.writeEndObject();
        json.flush();
        reply.write('\n');
        reply.writeTo(out);
        out.flush();
    }

    /** Handles an event for an instance; other types of event are ignored. */
    private void handleEvent(String type, Json.Fields event, double now) throws IOException {
        switch (type) {
            case "init",
                    "destroy",
                    "discovery",
                    "knock",
                    "flowing",
                    "note",
                    "result",
                    "expired",
                    "bell",
                    "probed",
                    "peerData" -> {}
            default -> {
                return;
            }
        }
        int index = event.integer("i");
        if (type.equals("init")) {
            Json.Fields config = event.object("config");
            try {
                Dispatcher.Settings settings = SettingsReader.settings(config);
                instances.put(
                        index,
                        new Instance(
                                new Logic(settings, event.longInteger("entropy"), new InstanceActions(index)),
                                settings.reportsFreeSlots()));
            } catch (IllegalArgumentException e) {
                throw new Json.BadInput("init: " + e.getMessage());
            }
            return;
        }
        Instance instance = instances.get(index);
        if (instance == null) {
            throw new Json.BadInput(type + ": field i names the unknown instance " + index);
        }
        if (type.equals("destroy")) {
            instances.remove(index);
            return;
        }
        Runnable call = readEvent(type, event, now, instance);
        try {
            call.run();
        } catch (RuntimeException e) {
            failed = true;
            err.println("plumpost: instance " + index + " failed on " + type + ": " + e);
            e.printStackTrace(err);
            new InstanceActions(index).write("bailOut", "words", type + ": " + e);
        }
    }

    /** Reads an event's fields before the instance is called, so that malformed input is not taken for its failure. */
    private Runnable readEvent(String type, Json.Fields event, double now, Instance instance) {
        Dispatcher dispatcher = instance.logic;
        switch (type) {
            case "discovery" -> {
                Dispatcher.ListMode mode = event.enumValue("mode", Dispatcher.ListMode.class);
                List<Dispatcher.WorkerEntry> entries = new ArrayList<>();
                for (Object line : event.listOrEmpty("lines")) {
                    entries.add(EventReader.readWorkerEntry(line));
                }
                return () -> dispatcher.onWorkerList(now, mode, entries);
            }
            case "knock" -> {
                Dispatcher.Job job = new Dispatcher.Job(
                        event.text("handle"),
                        event.integer("band"),
                        (int) event.number("team", 0),
                        event.text("affinity", null),
                        event.number("patienceLeftMs"),
                        event.number("costGuessMs", Double.NaN),
                        event.number("needs", 1),
                        event.number("memory", Double.NaN),
                        event.flag("retry", false));
                return () -> dispatcher.onJobArrived(now, job);
            }
            case "flowing" -> {
                String job = event.text("handle");
                int attempt = event.integer("try");
                String worker = event.text("worker");
                return () -> dispatcher.onAnswerStreaming(now, job, attempt, worker);
            }
            case "note" -> {
                String job = event.text("handle");
                int attempt = event.integer("try");
                String worker = event.text("worker");
                int topic = event.integer("topic");
                double amount = event.number("amount", 0);
                return topic == 1
                        ? () -> dispatcher.onAttemptStarted(now, job, attempt, worker)
                        : topic == 2 ? () -> dispatcher.onAttemptProgress(now, job, attempt, worker, amount) : () -> {};
            }
            case "result" -> {
                Dispatcher.Outcome outcome = new Dispatcher.Outcome(
                        event.text("handle"),
                        event.integer("try"),
                        event.text("worker"),
                        event.enumValue("ending", Dispatcher.Ending.class),
                        event.number("waitTimeMs", 0),
                        event.flag("noMore", false),
                        EventReader.readLoadReport(event, instance.freeSlots));
                return () -> dispatcher.onAttemptEnded(now, outcome);
            }
            case "expired" -> {
                String job = event.text("handle");
                return () -> dispatcher.onClientGone(now, job);
            }
            case "bell" -> {
                long token = event.longInteger("name");
                return () -> dispatcher.onTimer(now, token);
            }
            case "probed" -> {
                String worker = event.text("worker");
                Dispatcher.Ending ending = event.enumValue("ending", Dispatcher.Ending.class);
                double waitMs = event.number("waitTimeMs", 0);
                Dispatcher.LoadReport report = EventReader.readLoadReport(event, instance.freeSlots);
                return () -> dispatcher.onProbeResult(now, worker, ending, waitMs, report);
            }
            default -> {
                int from = event.integer("srcPeer");
                byte[] bytes;
                try {
                    bytes = Base64.getDecoder().decode(event.text("bytes"));
                } catch (IllegalArgumentException e) {
                    throw new Json.BadInput("peerData: field bytes is not base64");
                }
                return () -> dispatcher.onPeerMessage(now, from, bytes);
            }
        }
    }

    /** Writes the actions of one instance into the reply. */
    private final class InstanceActions implements Dispatcher.Actions {
        private final int index;

        InstanceActions(int index) {
            this.index = index;
        }

        /** Writes an action line; {@code fields} holds names and values in turn. */
        private void write(String type, Object... fields) {
            try {
                json.writeStartObject();
                json.writeStringField("event_type", type);
                json.writeNumberField("i", index);
                for (int k = 0; k < fields.length; k += 2) {
                    json.writeFieldName((String) fields[k]);
                    Object value = fields[k + 1];
                    if (value instanceof String text) {
                        json.writeString(text);
                    } else if (value instanceof Double number) {
                        json.writeNumber(number);
                    } else if (value instanceof Boolean flag) {
                        json.writeBoolean(flag);
                    } else {
                        json.writeNumber(((Number) value).longValue());
                    }
                }
                json.writeEndObject();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void assign(String job, String worker, double timeoutMs) {
            write("assign", "handle", job, "worker", worker, "giveUpAfterMs", timeoutMs);
        }

        @Override
        public void refuse(String job, double retryAfterMs) {
            write("bounce", "handle", job, "coolDownMs", retryAfterMs);
        }

        @Override
        public void fail(String job) {
            write("lose", "handle", job);
        }

        @Override
        public void cancel(String job, int attempt) {
            write("recall", "handle", job, "try", attempt);
        }

        @Override
        public void probe(String worker) {
            write("poll", "worker", worker);
        }

        @Override
        public void requestTimer(double atMs, long token) {
            write("wakeMe", "momentMs", atMs, "name", token);
        }

        @Override
        public void requestWorkerList() {
            write("streamChanges", "on", true);
        }

        @Override
        public void log(String message) {
            write("debug", "words", message);
        }
    }
}
