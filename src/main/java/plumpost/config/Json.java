package plumpost.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Reads JSON with the streaming parser into named fields, with the checks that every reader needs. */
public final class Json {
    /** No peer's bytes may nest so deep that reading them runs out of stack. */
    static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(32).build())
            .build();

    private Json() {}

    /** Reads bytes that hold one object and nothing else; {@code where} names it in messages. */
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
            throw new BadInput(where + " is not JSON");
        }
    }

    /** A message that breaks its format; its text names the event and the field. */
    public static final class BadInput extends RuntimeException {
        private static final long serialVersionUID = 1L;

        /** A message's fault in words. */
        public BadInput(String message) {
            super(message);
        }
    }

    /** Reads the value at the parser's present token as maps, lists, strings, numbers, booleans or null. */
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
     * The named fields of one object of the wire, with the checks that every reader needs.
     *
     * @param where names the object in messages
     * @param map its fields
     * @param ignored null where a field of another kind than its reader wants is bad input; else what was passed over as if
     *     it were not given, in words, shared by an object and those in it
     */
    public record Fields(String where, Map<String, Object> map, List<String> ignored) {
        /** Fields of which none may be of another kind than its reader wants. */
        public Fields(String where, Map<String, Object> map) {
            this(where, map, null);
        }

        /** The same fields, where an optional one of another kind counts as not given. */
        public Fields lenient() {
            return new Fields(where, map, new ArrayList<>());
        }

        private <T> T typed(String name, Class<T> type, String kind) {
            Object value = map.get(name);
            if (value == null || type.isInstance(value)) {
                return type.cast(value);
            }
            if (ignored == null) {
                throw new BadInput(where + ": field " + name + " is not " + kind);
            }
            ignore(name, value, kind);
            return null;
        }

        /** Passes a field's value over, or throws where that is not allowed. */
        void ignore(String name, Object value, String kind) {
            if (ignored == null) {
                throw new BadInput(where + ": field " + name + " is " + value + ", not " + kind);
            }
            ignored.add(where + ": field " + name + " is " + value + ", not " + kind + ", and is passed over");
        }

        private <T> T required(String name, T value) {
            if (value == null) {
                throw new BadInput(where + ": field " + name + " is missing");
            }
            return value;
        }

        /** A string that must be there. */
        public String text(String name) {
            return required(name, typed(name, String.class, "a string"));
        }

        /** A string. */
        public String text(String name, String fallback) {
            String value = typed(name, String.class, "a string");
            return value == null ? fallback : value;
        }

        /** A number that must be there. */
        public double number(String name) {
            return required(name, typed(name, Number.class, "a number")).doubleValue();
        }

        /** A number. */
        public double number(String name, double fallback) {
            Number value = typed(name, Number.class, "a number");
            return value == null ? fallback : value.doubleValue();
        }

        /** A whole number that must be there. */
        public int whole(String name) {
            return (int) number(name);
        }

        /** A number between two bounds. */
        public double numberInRange(String name, double fallback, double min, double max) {
            double value = number(name, fallback);
            if (!(value >= min && value <= max)) {
                throw new BadInput(where + ": field " + name + " is " + typed(name, Number.class, "a number")
                        + ", not from " + plainNumber(min) + " to " + plainNumber(max));
            }
            return value;
        }

        private static String plainNumber(double value) {
            return value == Math.rint(value) ? String.valueOf((long) value) : String.valueOf(value);
        }

        /** A whole number between two bounds. */
        public long whole(String name, long fallback, long min, long max) {
            double value = numberInRange(name, fallback, min, max);
            if (value != Math.rint(value)) {
                throw new BadInput(where + ": field " + name + " is " + value + ", not a whole number");
            }
            return (long) value;
        }

        /** Refuses fields of other names: a setting that is misspelt must not pass for one that is not given. */
        public void allowOnly(String... names) {
            for (String name : map.keySet()) {
                if (!List.of(names).contains(name)) {
                    throw new BadInput(where + ": field " + name + " is not a setting");
                }
            }
        }

        /** A long whole number that must be there. */
        public long longWhole(String name) {
            return required(name, typed(name, Number.class, "a number")).longValue();
        }

        /** A truth value. */
        public boolean flag(String name, boolean fallback) {
            Boolean value = typed(name, Boolean.class, "true or false");
            return value == null ? fallback : value;
        }

        /** Whether the field is there and not null. */
        public boolean has(String name) {
            return map.get(name) != null;
        }

        /** An object that must be there. */
        public Fields object(String name) {
            return fields(where + "." + name, required(name, map.get(name)), ignored);
        }

        /** An object, or one without fields. */
        public Fields objectOrEmpty(String name) {
            return typed(name, Map.class, "an object") == null
                    ? new Fields(where + "." + name, Map.of(), ignored)
                    : object(name);
        }

        /** The objects of a list that must be there. */
        public List<Fields> objects(String name) {
            List<Fields> objects = new ArrayList<>();
            for (Object item : list(name)) {
                objects.add(fields(where + "." + name + "[" + objects.size() + "]", item, ignored));
            }
            return objects;
        }

        /** The objects of a list, or none. */
        public List<Fields> objectsOrNone(String name) {
            return listOrEmpty(name).stream().allMatch(Map.class::isInstance)
                            && has(name)
                            && map.get(name) instanceof List
                    ? objects(name)
                    : List.of();
        }

        /** A list that must be there. */
        public List<?> list(String name) {
            return required(name, typed(name, List.class, "a list"));
        }

        /** A list, or an empty one. */
        public List<?> listOrEmpty(String name) {
            List<?> items = typed(name, List.class, "a list");
            return items == null ? List.of() : items;
        }

        /** A word that names a constant; one that names none counts as not given where that is allowed. */
        public <E extends Enum<E>> E oneOf(String name, Class<E> type, E fallback) {
            String text = text(name, null);
            for (E constant : type.getEnumConstants()) {
                if (constant.name().equalsIgnoreCase(text)) {
                    return constant;
                }
            }
            if (text != null && ignored == null) {
                return oneOf(name, type);
            }
            if (text != null) {
                ignore(name, text, "a word that is known");
            }
            return fallback;
        }

        /** A word that must be there and name a constant. */
        public <E extends Enum<E>> E oneOf(String name, Class<E> type) {
            String text = text(name);
            try {
                return Enum.valueOf(type, text.toUpperCase(Locale.ROOT));
            } catch (IllegalArgumentException e) {
                throw new BadInput(where + ": field " + name + " has the unknown value " + text);
            }
        }
    }

    /** The value as an object's fields. */
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
