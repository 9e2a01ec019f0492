package plumpost.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
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

/** Hosts many instances on the wire: one reply a batch, each event handed to its instance. Decides nothing. */
public final class WireHost {
    private final JsonParser in;
    private final OutputStream out;
    private final PrintStream err;
    private final ByteArrayOutputStream reply = new ByteArrayOutputStream(1 << 16);
    private final JsonGenerator json;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private boolean failed;

    private record Instance(Logic logic, boolean freeSlots) {}

    /** A host that reads batches, writes replies and says on {@code err} what is wrong. */
    public WireHost(InputStream in, OutputStream out, PrintStream err) throws IOException {
        JsonFactory factory = new JsonFactory();
        this.in = factory.createParser(in);
        this.out = out;
        this.err = err;
        json = factory.createGenerator(reply);
        json.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
    }

    /** Serves batches until input ends; the exit code is 0, or 1 after a message on what went wrong. */
    public int run() {
        try {
            while (in.nextToken() != null) {
                batch(message("beginBatch"));
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
            err.println("plumpost: the wire broke: " + e.getMessage());
        }
        return 1;
    }

    private Json.Fields message(String where) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new Json.BadInput(where + ": a line is not a JSON object");
        }
        @SuppressWarnings("unchecked")
        Map<String, Object> map = (Map<String, Object>) Json.value(in);
        Object type = map.get("event_type");
        return new Json.Fields(type instanceof String s ? s : where, map);
    }

    private void batch(Json.Fields head) throws IOException {
        if (!head.text("event_type").equals("beginBatch")) {
            throw new Json.BadInput(head.where() + ": expected beginBatch");
        }
        double now = head.number("tsMs");
        long seq = head.longWhole("seq");
        reply.reset();
        while (true) {
            if (in.nextToken() == null) {
                throw new Json.BadInput("input ended inside batch " + seq + ", before yourTurn");
            }
            Json.Fields f = message("an event of batch " + seq);
            String type = f.text("event_type");
            if (type.equals("yourTurn")) {
                break;
            }
            if (!failed) {
                event(type, f, now);
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

    private void event(String type, Json.Fields f, double now) throws IOException {
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
        int i = f.whole("i");
        if (type.equals("init")) {
            Json.Fields config = f.object("config");
            try {
                Dispatcher.Settings settings = SettingsReader.settings(config);
                instances.put(
                        i,
                        new Instance(
                                new Logic(settings, f.longWhole("entropy"), new Out(i)), settings.reportsFreeSlots()));
            } catch (IllegalArgumentException e) {
                throw new Json.BadInput("init: " + e.getMessage());
            }
            return;
        }
        Instance at = instances.get(i);
        if (at == null) {
            throw new Json.BadInput(type + ": field i names the unknown instance " + i);
        }
        if (type.equals("destroy")) {
            instances.remove(i);
            return;
        }
        Runnable call = call(type, f, now, at);
        try {
            call.run();
        } catch (RuntimeException e) {
            failed = true;
            err.println("plumpost: instance " + i + " failed on " + type + ": " + e);
            e.printStackTrace(err);
            new Out(i).write("bailOut", "words", type + ": " + e);
        }
    }

    /** Reads the event's fields, so that what is malformed is told from what fails in the instance. */
    private Runnable call(String type, Json.Fields f, double now, Instance at) {
        Dispatcher d = at.logic;
        switch (type) {
            case "discovery" -> {
                Dispatcher.ListMode mode = f.oneOf("mode", Dispatcher.ListMode.class);
                List<Dispatcher.WorkerEntry> entries = new ArrayList<>();
                for (Object o : f.listOrEmpty("lines")) {
                    entries.add(WireCodec.entry(o));
                }
                return () -> d.workers(now, mode, entries);
            }
            case "knock" -> {
                Dispatcher.Job job = new Dispatcher.Job(
                        f.text("handle"),
                        f.whole("band"),
                        (int) f.number("team", 0),
                        f.text("affinity", null),
                        f.number("patienceLeftMs"),
                        f.number("costGuessMs", Double.NaN),
                        f.number("needs", 1),
                        f.number("memory", Double.NaN),
                        f.flag("retry", false));
                return () -> d.arrived(now, job);
            }
            case "flowing" -> {
                String job = f.text("handle");
                int attempt = f.whole("try");
                String worker = f.text("worker");
                return () -> d.streaming(now, job, attempt, worker);
            }
            case "note" -> {
                String job = f.text("handle");
                int attempt = f.whole("try");
                String worker = f.text("worker");
                int topic = f.whole("topic");
                double amount = f.number("amount", 0);
                return topic == 1
                        ? () -> d.started(now, job, attempt, worker)
                        : topic == 2 ? () -> d.progressed(now, job, attempt, worker, amount) : () -> {};
            }
            case "result" -> {
                Dispatcher.Outcome o = new Dispatcher.Outcome(
                        f.text("handle"),
                        f.whole("try"),
                        f.text("worker"),
                        f.oneOf("ending", Dispatcher.Ending.class),
                        f.number("waitTimeMs", 0),
                        f.flag("noMore", false),
                        WireCodec.report(f, at.freeSlots));
                return () -> d.ended(now, o);
            }
            case "expired" -> {
                String job = f.text("handle");
                return () -> d.clientGone(now, job);
            }
            case "bell" -> {
                long token = f.longWhole("name");
                return () -> d.timer(now, token);
            }
            case "probed" -> {
                String worker = f.text("worker");
                Dispatcher.Ending ending = f.oneOf("ending", Dispatcher.Ending.class);
                double wait = f.number("waitTimeMs", 0);
                Dispatcher.LoadReport report = WireCodec.report(f, at.freeSlots);
                return () -> d.probed(now, worker, ending, wait, report);
            }
            default -> {
                int from = f.whole("srcPeer");
                byte[] bytes;
                try {
                    bytes = Base64.getDecoder().decode(f.text("bytes"));
                } catch (IllegalArgumentException e) {
                    throw new Json.BadInput("peerData: field bytes is not base64");
                }
                return () -> d.peerMessage(now, from, bytes);
            }
        }
    }

    /** Writes one instance's actions into the reply. */
    private final class Out implements Dispatcher.Actions {
        private final int i;

        Out(int i) {
            this.i = i;
        }

        /** An action line: names and values in turn, null values left out. */
        private void write(String type, Object... fields) {
            try {
                json.writeStartObject();
                json.writeStringField("event_type", type);
                json.writeNumberField("i", i);
                for (int k = 0; k < fields.length; k += 2) {
                    json.writeFieldName((String) fields[k]);
                    Object v = fields[k + 1];
                    if (v instanceof String s) {
                        json.writeString(s);
                    } else if (v instanceof Double x) {
                        json.writeNumber(x);
                    } else if (v instanceof Boolean b) {
                        json.writeBoolean(b);
                    } else {
                        json.writeNumber(((Number) v).longValue());
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
        public void timer(double atMs, long token) {
            write("wakeMe", "momentMs", atMs, "name", token);
        }

        @Override
        public void subscribe() {
            write("streamChanges", "on", true);
        }

        @Override
        public void log(String words) {
            write("debug", "words", words);
        }
    }
}
