package plumpost.fleet;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes the fleet's entries, outcomes and snapshots as CBOR (RFC 8949). A record is the array of its components in
 * their order; an entry is the array of the record format's number, its kind and its components. A newer format, an
 * unknown kind or another structure is an error that stops the reader: if it skipped an entry, its state would diverge
 * from that of the other members.
 */
public final class FleetCodec {
    /**
     * The newest record format that this program reads and, once the fleet has agreed on it, writes. The laboratory
     * overrides it by a system property, to run programs of two formats side by side.
     */
    public static final int FORMAT = Integer.getInteger("plumpost.lab.format", 2);
    /** The record format since which covered orders may have a start time. */
    public static final int FORMAT_WITH_START_TIMES = 2;
    /** Maximum size of an entry in bytes: enough for a node list of some thousand lines, or for the data of a job. */
    public static final int MAX_ENTRY_BYTES = 1 << 20;

    private static final CBORFactory CBOR = CBORFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(16)
                    .maxStringLength(MAX_ENTRY_BYTES)
                    .build())
            .build();
    private static final Map<String, Class<?>> KINDS = new HashMap<>();

    static {
        for (Class<?> kind : Entry.class.getPermittedSubclasses()) {
            KINDS.put(kind.getSimpleName(), kind);
        }
    }

    private FleetCodec() {}

    /** The bytes read are not in a form that this program knows; the message says what was found. */
    public static final class UnreadableException extends IOException {
        private static final long serialVersionUID = 1L;

        UnreadableException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** Encodes an entry in a record format from 1 to {@link #FORMAT}. */
    public static byte[] encode(Entry entry, int format) {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream(128);
        try (JsonGenerator out = CBOR.createGenerator(buffer)) {
            out.writeStartArray();
            out.writeNumber(format);
            out.writeString(entry.getClass().getSimpleName());
            writeValue(out, entry, format);
            out.writeEndArray();
        } catch (IOException failure) {
            throw new IllegalStateException(failure); // cannot happen: the output is in memory
        }
        return buffer.toByteArray();
    }

    /** Decodes an entry. */
    public static Entry decodeEntry(byte[] bytes) throws UnreadableException {
        try (JsonParser in = CBOR.createParser(bytes)) {
            require(in.nextToken() == JsonToken.START_ARRAY, "not an entry");
            int format = in.nextIntValue(-1);
            require(format >= 1 && format <= FORMAT, "record format " + format + ", this program reads 1 to " + FORMAT);
            String name = in.nextTextValue();
            Class<?> kind = KINDS.get(name);
            require(kind != null, "unknown kind of entry " + name);
            in.nextToken();
            Entry entry = (Entry) readValue(in, kind, format);
            require(in.nextToken() == JsonToken.END_ARRAY, "unexpected data after the entry");
            return entry;
        } catch (UnreadableException entry) {
            throw entry;
        } catch (IOException | RuntimeException entry) {
            throw new UnreadableException("the fleet's log contains an invalid entry: " + entry.getMessage(), entry);
        }
    }

    /** Encodes an outcome. */
    public static byte[] encode(Outcome outcome) {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream(64);
        writeRecord(outcome, FORMAT, buffer);
        return buffer.toByteArray();
    }

    /** Decodes an outcome. */
    public static Outcome decodeOutcome(byte[] bytes) throws UnreadableException {
        try (JsonParser in = CBOR.createParser(bytes)) {
            in.nextToken();
            return (Outcome) readValue(in, Outcome.class, FORMAT);
        } catch (IOException | RuntimeException e) {
            throw new UnreadableException("invalid outcome: " + e.getMessage(), e);
        }
    }

    /** Writes a record in a record format to a stream, which stays open. */
    static void writeRecord(Record record, int format, OutputStream output) {
        try (JsonGenerator out = CBOR.createGenerator(output)) {
            out.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            writeValue(out, record, format);
        } catch (IOException failure) {
            throw new java.io.UncheckedIOException(failure);
        }
    }

    /** Writes a snapshot of the state: the number of the record format that the fleet has agreed on, then the content. */
    public static void writeSnapshot(FleetState state, OutputStream output) {
        int format = state.sessions().format();
        writeRecord(new StoredSnapshot(format, state.snapshot()), format, output);
    }

    /** A snapshot with the number of the record format that it is written in. */
    record StoredSnapshot(int format, FleetState.Snapshot snapshot) {}

    /** Reads a snapshot. */
    public static FleetState.Snapshot readSnapshot(InputStream input) throws UnreadableException {
        try (JsonParser in = CBOR.createParser(input)) {
            require(in.nextToken() == JsonToken.START_ARRAY, "not a snapshot");
            int format = in.nextIntValue(-1);
            require(
                    format >= 1 && format <= FORMAT,
                    "snapshot of format " + format + ", this program reads 1 to " + FORMAT);
            in.nextToken();
            return (FleetState.Snapshot) readValue(in, FleetState.Snapshot.class, format);
        } catch (UnreadableException e) {
            throw e;
        } catch (IOException | RuntimeException e) {
            throw new UnreadableException("the snapshot cannot be read: " + e.getMessage(), e);
        }
    }

    private static void require(boolean condition, String message) throws UnreadableException {
        if (!condition) {
            throw new UnreadableException(message, null);
        }
    }

    private static boolean isIn(int format, RecordComponent component) {
        SinceFormat since = component.getAnnotation(SinceFormat.class);
        return since == null || since.value() <= format;
    }

    private static void writeValue(JsonGenerator out, Object value, int format) throws IOException {
        if (value instanceof String text) {
            out.writeString(text);
        } else if (value instanceof Long number) {
            out.writeNumber(number);
        } else if (value instanceof Integer number) {
            out.writeNumber(number);
        } else if (value instanceof Double number) {
            out.writeNumber(number);
        } else if (value instanceof Boolean b) {
            out.writeBoolean(b);
        } else if (value instanceof byte[] b) {
            out.writeBinary(b);
        } else if (value instanceof Enum<?> c) {
            out.writeString(c.name());
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object item : list) {
                writeValue(out, item, format);
            }
            out.writeEndArray();
        } else {
            out.writeStartArray();
            for (RecordComponent c : value.getClass().getRecordComponents()) {
                if (!isIn(format, c)) {
                    continue;
                }
                try {
                    writeValue(out, c.getAccessor().invoke(value), format);
                } catch (ReflectiveOperationException e) {
                    throw new IllegalStateException(e);
                }
            }
            out.writeEndArray();
        }
    }

    private static Object readValue(JsonParser in, Type type, int format) throws IOException {
        if (type == String.class) {
            require(in.currentToken() == JsonToken.VALUE_STRING, "expected a string");
            return in.getText();
        } else if (type == long.class) {
            return in.getLongValue();
        } else if (type == int.class) {
            return in.getIntValue();
        } else if (type == double.class) {
            return in.getDoubleValue();
        } else if (type == boolean.class) {
            return in.getBooleanValue();
        } else if (type == byte[].class) {
            return in.getBinaryValue();
        }
        require(
                type instanceof Class<?> c && c.isEnum() || in.currentToken() == JsonToken.START_ARRAY,
                "expected an array");
        if (type instanceof ParameterizedType list) {
            List<Object> items = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                items.add(readValue(in, list.getActualTypeArguments()[0], format));
            }
            return List.copyOf(items);
        }
        Class<?> kind = (Class<?>) type;
        if (kind.isEnum()) {
            for (Object c : kind.getEnumConstants()) {
                if (((Enum<?>) c).name().equals(in.getText())) {
                    return c;
                }
            }
            throw new UnreadableException("unknown " + kind.getSimpleName() + " " + in.getText(), null);
        }
        RecordComponent[] components = kind.getRecordComponents();
        Object[] values = new Object[components.length];
        Class<?>[] types = new Class<?>[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
            if (!isIn(format, components[i])) {
                values[i] = 0;
                continue;
            }
            require(
                    in.nextToken() != JsonToken.END_ARRAY,
                    kind.getSimpleName() + " lacks component " + components[i].getName());
            values[i] = readValue(in, components[i].getGenericType(), format);
        }
        require(
                in.nextToken() == JsonToken.END_ARRAY,
                kind.getSimpleName() + " has more than " + components.length + " components");
        try {
            Constructor<?> constructor = kind.getDeclaredConstructor(types);
            return constructor.newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
