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
 * Incremental parser for a stream of JSON objects, which may be split into chunks and lines at any point. An object is
 * delivered once its closing brace has arrived; an object that is incomplete at the end of the stream is never delivered.
 */
public final class JsonObjectStream {
    private final String context;
    private final int maxBytes;
    private final JsonParser parser;
    private final ByteArrayOutputStream objectText = new ByteArrayOutputStream();
    private final ArrayDeque<Object> openValues = new ArrayDeque<>();
    private final ArrayDeque<String> fieldNames = new ArrayDeque<>();
    private long consumedBytes;

    /** Creates a parser; {@code context} names the objects in messages, and no object may be longer than {@code maxBytes}. */
    public JsonObjectStream(String context, int maxBytes) {
        this.context = context;
        this.maxBytes = maxBytes;
        try {
            parser = Json.FACTORY.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Parses bytes and passes on each object that they complete, with its text; throws {@link BadInput} on malformed input. */
    public void feed(byte[] bytes, BiConsumer<Fields, byte[]> onObject) {
        int copied = 0;
        try {
            ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(bytes, 0, bytes.length);
            for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser.nextToken()) {
                Object object = acceptToken(token);
                if (object != null) {
                    int end = (int) (parser.currentLocation().getByteOffset() - consumedBytes);
                    objectText.write(bytes, copied, end - copied);
                    copied = end;
                    byte[] text = objectText.toByteArray();
                    objectText.reset();
                    onObject.accept(Json.fields(context, object), text);
                }
            }
        } catch (IOException e) {
            throw new BadInput(context + " is not JSON" + Json.describe(e));
        }
        if (!openValues.isEmpty()) {
            objectText.write(bytes, copied, bytes.length - copied); // whitespace between objects is dropped
        }
        consumedBytes += bytes.length;
        if (objectText.size() > maxBytes) {
            throw new BadInput(context + " is over " + maxBytes + " bytes");
        }
    }

    /** Whether an object has begun and is not complete yet. */
    public boolean isIncomplete() {
        return !openValues.isEmpty();
    }

    /** Processes a token; returns the top-level object that it completes, or null. */
    private Object acceptToken(JsonToken token) throws IOException {
        switch (token) {
            case FIELD_NAME -> {
                fieldNames.pop();
                fieldNames.push(parser.currentName());
            }
            case START_OBJECT, START_ARRAY -> {
                Object opened =
                        token == JsonToken.START_OBJECT ? new LinkedHashMap<String, Object>() : new ArrayList<>();
                addValue(opened);
                openValues.push(opened);
                fieldNames.push("");
            }
            case END_OBJECT, END_ARRAY -> {
                fieldNames.pop();
                Object closed = openValues.pop();
                return openValues.isEmpty() ? closed : null;
            }
            default -> {
                if (openValues.isEmpty()) {
                    throw new BadInput(context + " is no object");
                }
                addValue(Json.value(parser));
            }
        }
        return null;
    }

    @SuppressWarnings("unchecked")
    private void addValue(Object value) {
        if (openValues.peek() instanceof List<?> items) {
            ((List<Object>) items).add(value);
        } else if (!openValues.isEmpty()) {
            ((Map<String, Object>) openValues.peek()).put(fieldNames.peek(), value);
        }
    }
}
