package plumpost.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;

/**
 * Reads the JSON objects that follow one another in a stream, wherever its bytes are cut and its lines are broken: an
 * object counts once its last brace has come, and what a stream leaves unfinished never counts.
 */
public final class ObjectStream {
    private final String where;
    private final int limit;
    private final JsonParser in;
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();
    private final ArrayDeque<Object> open = new ArrayDeque<>();
    private final ArrayDeque<String> names = new ArrayDeque<>();
    private long before;

    /** A stream at its start; {@code where} names its objects in messages, none of which may be over the limit. */
    public ObjectStream(String where, int limit) {
        this.where = where;
        this.limit = limit;
        try {
            in = Json.FACTORY.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Takes bytes, and hands on each object that is whole by that, with its text. */
    public void feed(byte[] bytes, BiConsumer<Fields, byte[]> each) {
        int taken = 0;
        try {
            ((ByteArrayFeeder) in.getNonBlockingInputFeeder()).feedInput(bytes, 0, bytes.length);
            for (JsonToken t = in.nextToken(); t != JsonToken.NOT_AVAILABLE; t = in.nextToken()) {
                Object whole = token(t);
                if (whole != null) {
                    int end = (int) (in.currentLocation().getByteOffset() - before);
                    text.write(bytes, taken, end - taken);
                    taken = end;
                    byte[] all = text.toByteArray();
                    text.reset();
                    each.accept(Json.fields(where, whole), all);
                }
            }
        } catch (IOException e) {
            throw new BadInput(where + " is not JSON");
        }
        if (!open.isEmpty()) {
            text.write(bytes, taken, bytes.length - taken); // blanks between objects are not kept
        }
        before += bytes.length;
        if (text.size() > limit) {
            throw new BadInput(where + " is over " + limit + " bytes");
        }
    }

    /** Whether an object has begun and is not whole yet. */
    public boolean midway() {
        return !open.isEmpty();
    }

    /** Takes a token; the object that it ends, where that stands in no other. */
    private Object token(JsonToken t) throws IOException {
        switch (t) {
            case FIELD_NAME -> {
                names.pop();
                names.push(in.currentName());
            }
            case START_OBJECT, START_ARRAY -> {
                Object fresh = t == JsonToken.START_OBJECT ? new LinkedHashMap<String, Object>() : new ArrayList<>();
                add(fresh);
                open.push(fresh);
                names.push("");
            }
            case END_OBJECT, END_ARRAY -> {
                names.pop();
                Object done = open.pop();
                return open.isEmpty() ? done : null;
            }
            default -> {
                if (open.isEmpty()) {
                    throw new BadInput(where + " is no object");
                }
                add(Json.value(in));
            }
        }
        return null;
    }

    @SuppressWarnings("unchecked")
    private void add(Object value) {
        if (open.peek() instanceof List<?> items) {
            ((List<Object>) items).add(value);
        } else if (!open.isEmpty()) {
            ((Map<String, Object>) open.peek()).put(names.peek(), value);
        }
    }
}
