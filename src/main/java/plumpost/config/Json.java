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
        try (JsonParser in = FACTORY.createParser(bytes)) {
            if (in.nextToken() == null) {
                throw new BadInput(where + " is empty");
            }
            Object value = value(in);
            if (in.nextToken() != null) {
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
        public BadInput(String words) {
            super(words);
        }
    }

    /** Reads the value at the parser's present token as maps, lists, strings, numbers, booleans or null. */
    public static Object value(JsonParser in) throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> fields = new LinkedHashMap<>();
                while (in.nextToken() != JsonToken.END_OBJECT) {
                    String name = in.currentName();
                    in.nextToken();
                    fields.put(name, value(in));
                }
                return fields;
            }
            case START_ARRAY -> {
                List<Object> items = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    items.add(value(in));
                }
                return items;
            }
            case VALUE_STRING -> {
                return in.getText();
            }
            case VALUE_NUMBER_INT -> {
                return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) in.getBigIntegerValue().longValue()
                        : (Object) in.getLongValue();
            }
            case VALUE_NUMBER_FLOAT -> {
                return in.getDoubleValue();
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
     * @param passedOver null where a field of another kind than its reader wants is bad input; else what was passed over as if
     *     it were not given, in words, shared by an object and those in it
     */
    public record Fields(String where, Map<String, Object> map, List<String> passedOver) {
        /** Fields of which none may be of another kind than its reader wants. */
        public Fields(String where, Map<String, Object> map) {
            this(where, map, null);
        }

        /** The same fields, where an optional one of another kind counts as not given. */
        public Fields lenient() {
            return new Fields(where, map, new ArrayList<>());
        }

        private <T> T get(String name, Class<T> type, String kind) {
            Object v = map.get(name);
            if (v == null || type.isInstance(v)) {
                return type.cast(v);
            }
            if (passedOver == null) {
                throw new BadInput(where + ": field " + name + " is not " + kind);
            }
            passOver(name, v, kind);
            return null;
        }

        /** Passes a field's value over, or throws where that is not allowed. */
        void passOver(String name, Object value, String kind) {
            if (passedOver == null) {
                throw new BadInput(where + ": field " + name + " is " + value + ", not " + kind);
            }
            passedOver.add(where + ": field " + name + " is " + value + ", not " + kind + ", and is passed over");
        }

        private <T> T need(String name, T v) {
            if (v == null) {
                throw new BadInput(where + ": field " + name + " is missing");
            }
            return v;
        }

        /** A string that must be there. */
        public String text(String name) {
            return need(name, get(name, String.class, "a string"));
        }

        /** A string. */
        public String text(String name, String otherwise) {
            String v = get(name, String.class, "a string");
            return v == null ? otherwise : v;
        }

        /** A number that must be there. */
        public double number(String name) {
            return need(name, get(name, Number.class, "a number")).doubleValue();
        }

        /** A number. */
        public double number(String name, double otherwise) {
            Number v = get(name, Number.class, "a number");
            return v == null ? otherwise : v.doubleValue();
        }

        /** A whole number that must be there. */
        public int whole(String name) {
            return (int) number(name);
        }

        /** A number between two bounds. */
        public double between(String name, double otherwise, double least, double most) {
            double v = number(name, otherwise);
            if (!(v >= least && v <= most)) {
                throw new BadInput(where + ": field " + name + " is " + get(name, Number.class, "a number")
                        + ", not from " + plain(least) + " to " + plain(most));
            }
            return v;
        }

        private static String plain(double v) {
            return v == Math.rint(v) ? String.valueOf((long) v) : String.valueOf(v);
        }

        /** A whole number between two bounds. */
        public long whole(String name, long otherwise, long least, long most) {
            double v = between(name, otherwise, least, most);
            if (v != Math.rint(v)) {
                throw new BadInput(where + ": field " + name + " is " + v + ", not a whole number");
            }
            return (long) v;
        }

        /** Refuses fields of other names: a setting that is misspelt must not pass for one that is not given. */
        public void only(String... names) {
            for (String name : map.keySet()) {
                if (!List.of(names).contains(name)) {
                    throw new BadInput(where + ": field " + name + " is not a setting");
                }
            }
        }

        /** A long whole number that must be there. */
        public long longWhole(String name) {
            return need(name, get(name, Number.class, "a number")).longValue();
        }

        /** A truth value. */
        public boolean flag(String name, boolean otherwise) {
            Boolean v = get(name, Boolean.class, "true or false");
            return v == null ? otherwise : v;
        }

        /** Whether the field is there and not null. */
        public boolean has(String name) {
            return map.get(name) != null;
        }

        /** An object that must be there. */
        public Fields object(String name) {
            return fields(where + "." + name, need(name, map.get(name)), passedOver);
        }

        /** An object, or one without fields. */
        public Fields objectOrEmpty(String name) {
            return get(name, Map.class, "an object") == null
                    ? new Fields(where + "." + name, Map.of(), passedOver)
                    : object(name);
        }

        /** The objects of a list that must be there. */
        public List<Fields> objects(String name) {
            List<Fields> all = new ArrayList<>();
            for (Object item : list(name)) {
                all.add(fields(where + "." + name + "[" + all.size() + "]", item, passedOver));
            }
            return all;
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
            return need(name, get(name, List.class, "a list"));
        }

        /** A list, or an empty one. */
        public List<?> listOrEmpty(String name) {
            List<?> items = get(name, List.class, "a list");
            return items == null ? List.of() : items;
        }

        /** A word that names a constant; one that names none counts as not given where that is allowed. */
        public <E extends Enum<E>> E oneOf(String name, Class<E> type, E otherwise) {
            String word = text(name, null);
            for (E constant : type.getEnumConstants()) {
                if (constant.name().equalsIgnoreCase(word)) {
                    return constant;
                }
            }
            if (word != null && passedOver == null) {
                return oneOf(name, type);
            }
            if (word != null) {
                passOver(name, word, "a word that is known");
            }
            return otherwise;
        }

        /** A word that must be there and name a constant. */
        public <E extends Enum<E>> E oneOf(String name, Class<E> type) {
            String v = text(name);
            try {
                return Enum.valueOf(type, v.toUpperCase(Locale.ROOT));
            } catch (IllegalArgumentException e) {
                throw new BadInput(where + ": field " + name + " has the unknown value " + v);
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
        map.forEach((k, v) -> named.put((String) k, v));
        return new Fields(where, named, passedOver);
    }
}
