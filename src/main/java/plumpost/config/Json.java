package plumpost.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Reads JSON objects into named fields with type and range checks. */
public final class Json {
    /**
     * Limits the nesting depth, so that a peer's input cannot overflow the stack, and rejects an object that names a field twice,
     * of which two readers may take different values.
     */
    public static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(32).build())
            .build();

    private Json() {}

    /** Reads bytes that contain exactly one object; {@code where} names it in messages. Throws {@link BadInput} otherwise. */
    public static Fields object(String where, byte[] bytes) {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            if (parser.nextToken() == null) {
                throw new BadInput(where + " is empty");
            }
            Object value = value(parser);
            if (parser.nextToken() != null) {
                throw new BadInput(where + ": something follows the object");
            }
            return fields(where, value);
        } catch (com.fasterxml.jackson.core.io.JsonEOFException e) {
            throw new BadInput(where + " is not JSON: it ends in the middle, after " + bytes.length + " bytes");
        } catch (IOException e) {
            throw new BadInput(where + " is not JSON" + describe(e));
        }
    }

    /** Returns what is wrong with malformed input where the message repeats only a field's name, or an empty text. */
    static String describe(IOException e) {
        boolean duplicate = e instanceof JsonProcessingException fault
                && fault.getOriginalMessage() != null
                && fault.getOriginalMessage().startsWith("Duplicate field");
        return duplicate ? ": " + ((JsonProcessingException) e).getOriginalMessage() : "";
    }

    /** Thrown for input that is malformed or has an invalid value; the message names the input and the field. */
    public static final class BadInput extends RuntimeException {
        private static final long serialVersionUID = 1L;

        /** Creates an exception with a message that describes the fault. */
        public BadInput(String message) {
            super(message);
        }
    }

    /** Reads the value at the parser's current token as maps, lists, strings, numbers, booleans or null. */
    public static Object value(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> fields = new LinkedHashMap<>();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    fields.put(name, value(parser));
                }
                return fields;
            }
            case START_ARRAY -> {
                List<Object> items = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    items.add(value(parser));
                }
                return items;
            }
            case VALUE_STRING -> {
                return parser.getText();
            }
            case VALUE_NUMBER_INT -> {
                return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) parser.getBigIntegerValue().longValue()
                        : (Object) parser.getLongValue();
            }
            case VALUE_NUMBER_FLOAT -> {
                return parser.getDoubleValue();
            }
            case VALUE_TRUE -> {
                return Boolean.TRUE;
            }
            case VALUE_FALSE -> {
                return Boolean.FALSE;
            }
            default -> {
                return null;
            }
        }
    }

    /**
     * The named fields of one JSON object, with type and range checks. All getters throw {@link BadInput} if a required field
     * is missing.
     *
     * @param context names the object in messages
     * @param map the field values by name
     * @param ignored null if a field of the wrong type is an error; otherwise a list of messages about the fields that were
     *     ignored because of their type, shared by an object and the objects nested in it
     */
    public record Fields(String context, Map<String, Object> map, List<String> ignored) {
        /** Creates strict fields: a value of the wrong type is an error. */
        public Fields(String where, Map<String, Object> map) {
            this(where, map, null);
        }

        /** Returns the same fields in lenient mode: an optional field of the wrong type is treated as absent. */
        public Fields lenient() {
            return new Fields(context, map, new ArrayList<>());
        }

        private <T> T typed(String name, Class<T> type, String kind) {
            Object value = map.get(name);
            if (value == null || type.isInstance(value)) {
                return type.cast(value);
            }
            if (ignored == null) {
                throw new BadInput(context + ": field " + name + " is not " + kind);
            }
            ignore(name, value, kind);
            return null;
        }

        /** Records that a field's value is ignored; in strict mode throws {@link BadInput} instead. */
        void ignore(String name, Object value, String kind) {
            if (ignored == null) {
                throw new BadInput(context + ": field " + name + " is " + value + ", not " + kind);
            }
            ignored.add(context + ": field " + name + " is " + value + ", not " + kind + ", and is passed over");
        }

        private <T> T required(String name, T value) {
            if (value == null) {
                throw new BadInput(context + ": field " + name + " is missing");
            }
            return value;
        }

        /** Returns a required string. */
        public String text(String name) {
            return required(name, typed(name, String.class, "a string"));
        }

        /** Returns an optional string, or the fallback if it is absent. */
        public String text(String name, String fallback) {
            String value = typed(name, String.class, "a string");
            return value == null ? fallback : value;
        }

        /** Returns a required number. */
        public double number(String name) {
            return required(name, typed(name, Number.class, "a number")).doubleValue();
        }

        /** Returns an optional number, or the fallback if it is absent. */
        public double number(String name, double fallback) {
            Number value = typed(name, Number.class, "a number");
            return value == null ? fallback : value.doubleValue();
        }

        /** Returns a required number, truncated to an int. */
        public int integer(String name) {
            return (int) number(name);
        }

        /** Returns an optional number, or the fallback; throws {@link BadInput} if it is out of range (bounds included). */
        public double numberInRange(String name, double fallback, double min, double max) {
            double value = number(name, fallback);
            if (!(value >= min && value <= max)) {
                throw new BadInput(context + ": field " + name + " is " + typed(name, Number.class, "a number")
                        + ", not from " + plainNumber(min) + " to " + plainNumber(max));
            }
            return value;
        }

        private static String plainNumber(double value) {
            return value == Math.rint(value) ? String.valueOf((long) value) : String.valueOf(value);
        }

        /** Returns an optional integer, or the fallback; throws {@link BadInput} if it is fractional or out of range. */
        public long integer(String name, long fallback, long min, long max) {
            double value = numberInRange(name, fallback, min, max);
            if (value != Math.rint(value)) {
                throw new BadInput(context + ": field " + name + " is " + value + ", not a whole number");
            }
            return (long) value;
        }

        /** Throws {@link BadInput} if there is a field of another name, so that a misspelt setting is not taken for an absent one. */
        public void allowOnly(String... names) {
            for (String name : map.keySet()) {
                if (!List.of(names).contains(name)) {
                    throw new BadInput(context + ": field " + name + " is not a setting");
                }
            }
        }

        /** Returns a required number, truncated to a long. */
        public long longInteger(String name) {
            return required(name, typed(name, Number.class, "a number")).longValue();
        }

        /** Returns an optional boolean, or the fallback if it is absent. */
        public boolean flag(String name, boolean fallback) {
            Boolean value = typed(name, Boolean.class, "true or false");
            return value == null ? fallback : value;
        }

        /** Whether the field is present and not null. */
        public boolean has(String name) {
            return map.get(name) != null;
        }

        /** Returns a required object. */
        public Fields object(String name) {
            return fields(context + "." + name, required(name, map.get(name)), ignored);
        }

        /** Returns an optional object, or one without fields. */
        public Fields objectOrEmpty(String name) {
            return typed(name, Map.class, "an object") == null
                    ? new Fields(context + "." + name, Map.of(), ignored)
                    : object(name);
        }

        /** Returns the objects of a required list. */
        public List<Fields> objects(String name) {
            List<Fields> objects = new ArrayList<>();
            for (Object item : list(name)) {
                objects.add(fields(context + "." + name + "[" + objects.size() + "]", item, ignored));
            }
            return objects;
        }

        /** Returns the objects of an optional list; none if it contains anything else. */
        public List<Fields> objectsOrNone(String name) {
            return listOrEmpty(name).stream().allMatch(Map.class::isInstance)
                            && has(name)
                            && map.get(name) instanceof List
                    ? objects(name)
                    : List.of();
        }

        /** Returns a required list. */
        public List<?> list(String name) {
            return required(name, typed(name, List.class, "a list"));
        }

        /** Returns an optional list, or an empty one. */
        public List<?> listOrEmpty(String name) {
            List<?> items = typed(name, List.class, "a list");
            return items == null ? List.of() : items;
        }

        /** Returns an optional enum constant by name, ignoring case; in lenient mode an unknown name gives the fallback. */
        public <E extends Enum<E>> E enumValue(String name, Class<E> type, E fallback) {
            String text = text(name, null);
            for (E constant : type.getEnumConstants()) {
                if (constant.name().equalsIgnoreCase(text)) {
                    return constant;
                }
            }
            if (text != null && ignored == null) {
                return enumValue(name, type);
            }
            if (text != null) {
                ignore(name, text, "a word that is known");
            }
            return fallback;
        }

        /** Returns a required enum constant by name, ignoring case. */
        public <E extends Enum<E>> E enumValue(String name, Class<E> type) {
            String text = text(name);
            try {
                return Enum.valueOf(type, text.toUpperCase(Locale.ROOT));
            } catch (IllegalArgumentException e) {
                throw new BadInput(context + ": field " + name + " has the unknown value " + text);
            }
        }
    }

    /** Converts a value to the fields of an object; throws {@link BadInput} if it is not an object. */
    public static Fields fields(String where, Object value) {
        return fields(where, value, null);
    }

    private static Fields fields(String where, Object value, List<String> passedOver) {
        if (!(value instanceof Map<?, ?> map)) {
            throw new BadInput(where + " is not an object");
        }
        Map<String, Object> named = new LinkedHashMap<>();
        map.forEach((name, fieldValue) -> named.put((String) name, fieldValue));
        return new Fields(where, named, passedOver);
    }
}
