package plumpost.benchlink;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import plumpost.decision.Dispatcher;

/** Reads the wire's values into the vocabulary of {@link Dispatcher}; no state, no decisions. */
final class WireCodec {
    private WireCodec() { }

    /** A message that breaks the wire; its text names the event and the field. */
    static final class BadInput extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BadInput(String words) {
            super(words);
        }
    }

    /** Reads the value at the parser's present token as maps, lists, strings, numbers, booleans or null. */
    static Object value(JsonParser in) throws IOException {
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
                    ? (Object) in.getBigIntegerValue().longValue() : (Object) in.getLongValue();
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

    /** The named fields of one object of the wire, with the checks that every reader needs. */
    record Fields(String where, Map<String, Object> map) {
        private <T> T get(String name, Class<T> type, String kind) {
            Object v = map.get(name);
            if (v != null && !type.isInstance(v)) {
                throw new BadInput(where + ": field " + name + " is not " + kind);
            }
            return type.cast(v);
        }

        private <T> T need(String name, T v) {
            if (v == null) {
                throw new BadInput(where + ": field " + name + " is missing");
            }
            return v;
        }

        String text(String name) {
            return need(name, get(name, String.class, "a string"));
        }

        String text(String name, String otherwise) {
            String v = get(name, String.class, "a string");
            return v == null ? otherwise : v;
        }

        double number(String name) {
            return need(name, get(name, Number.class, "a number")).doubleValue();
        }

        double number(String name, double otherwise) {
            Number v = get(name, Number.class, "a number");
            return v == null ? otherwise : v.doubleValue();
        }

        int whole(String name) {
            return (int) number(name);
        }

        long longWhole(String name) {
            return need(name, get(name, Number.class, "a number")).longValue();
        }

        boolean flag(String name, boolean otherwise) {
            Boolean v = get(name, Boolean.class, "true or false");
            return v == null ? otherwise : v;
        }

        boolean has(String name) {
            return map.get(name) != null;
        }

        Fields object(String name) {
            return fields(where + "." + name, need(name, map.get(name)));
        }

        Fields objectOrEmpty(String name) {
            return has(name) ? object(name) : new Fields(where + "." + name, Map.of());
        }

        List<?> list(String name) {
            return need(name, get(name, List.class, "a list"));
        }

        List<?> listOrEmpty(String name) {
            return has(name) ? list(name) : List.of();
        }

        <E extends Enum<E>> E oneOf(String name, Class<E> type) {
            String v = text(name);
            try {
                return Enum.valueOf(type, v.toUpperCase(Locale.ROOT));
            } catch (IllegalArgumentException e) {
                throw new BadInput(where + ": field " + name + " has the unknown value " + v);
            }
        }
    }

    static Fields fields(String where, Object value) {
        if (!(value instanceof Map<?, ?> map)) {
            throw new BadInput(where + " is not an object");
        }
        Map<String, Object> named = new LinkedHashMap<>();
        map.forEach((k, v) -> named.put((String) k, v));
        return new Fields(where, named);
    }

    static Dispatcher.Settings settings(Fields c) {
        Fields info = c.objectOrEmpty("familyInfo");
        Fields limits = c.objectOrEmpty("ceilings");
        Fields rules = c.object("rules");
        Fields fees = c.objectOrEmpty("fees");
        Fields report = c.objectOrEmpty("report");
        List<Dispatcher.JobClass> classes = new ArrayList<>();
        for (Object o : c.list("classes")) {
            Fields k = fields("config.classes", o);
            int i = classes.size();
            classes.add(new Dispatcher.JobClass(k.text("name", "class " + i), k.number("sloMs"),
                k.number("aimStretch", item(info, "classStretch", i, 0)), k.number("deadlineMs"),
                k.oneOf("effect", Dispatcher.Effect.class),
                k.has("keyScope") ? k.oneOf("keyScope", Dispatcher.Scope.class) : Dispatcher.Scope.ALL,
                k.number("windowMs", 0), k.number("importance", 1), k.number("lateWorth", 0),
                (int) item(info, "classKind", i, -1), (int) item(info, "classPriority", i, 0)));
        }
        List<Dispatcher.Tenant> tenants = new ArrayList<>();
        for (Object o : c.listOrEmpty("tenants")) {
            Fields t = fields("config.tenants", o);
            tenants.add(new Dispatcher.Tenant(t.text("name", "tenant " + tenants.size()),
                t.number("quotaPerS", Double.POSITIVE_INFINITY), t.number("share", 0)));
        }
        return new Dispatcher.Settings((int) c.number("balancers", 1), (int) c.number("index", 0),
            (int) c.number("locality", 0), Math.max(1, c.listOrEmpty("dcs").size()),
            Math.max(1, c.listOrEmpty("shapes").size()), classes, tenants,
            new Dispatcher.Limits((int) limits.number("maxAttempts", 1), limits.flag("parallelTries", false),
                limits.flag("cancelling", false), limits.flag("probes", false), limits.flag("peers", false),
                limits.flag("retryAfter", false), limits.number("maxRetryAfterMs", 0),
                limits.number("dialTimeoutMs", 0), limits.number("keepaliveMs", 0)),
            new Dispatcher.Rules(rules.number("coldFrom", 1), rules.number("coldMs", 0), rules.number("fallMs", 0),
                rules.number("fallMultiple", 1), rules.number("graceToAnswerMs", 0),
                rules.number("mustAskInMs", 10_000), rules.number("stopSendingWithinMs", 0)),
            new Dispatcher.Fees(fees.number("crossZone", 0), fees.number("handshake", 0), fees.number("probe", 0),
                fees.number("peer", 0), fees.number("lateFail", 0), fees.number("waste", 0)),
            switch (report.text("via", "silent")) {
                case "piggyback" -> Dispatcher.Reports.PIGGYBACK;
                case "pull" -> Dispatcher.Reports.PULL;
                default -> Dispatcher.Reports.SILENT;
            },
            report.listOrEmpty("fields").contains("x0")
                && info.text("reportX0", "free slots").equals("free slots"),
            c.text("membershipMode", "pushed").equals("on_request"), info.flag("tellsStart", false),
            info.number("progressMs", 0), c.text("worthBy", "request").equals("work"),
            c.number("overShareWorth", 1), c.number("granularityMs", 1));
    }

    private static double item(Fields f, String name, int i, double otherwise) {
        List<?> items = f.listOrEmpty(name);
        return i < items.size() && items.get(i) instanceof Number n ? n.doubleValue() : otherwise;
    }

    static Dispatcher.WorkerEntry entry(Object o) {
        Fields e = fields("discovery.lines", o);
        return new Dispatcher.WorkerEntry(e.text("worker"), (int) e.number("area", 0), (int) e.number("type", 0),
            (int) e.number("stripe", 0), e.oneOf("phase", Dispatcher.Phase.class), e.number("units", 1),
            e.number("cameUpMs", 0));
    }

    static Dispatcher.LoadReport report(Fields f, boolean x0IsFreeSlots) {
        if (!f.has("serverStats")) {
            return null;
        }
        Fields r = f.object("serverStats");
        return new Dispatcher.LoadReport(r.number("inflight", Double.NaN), r.number("queue", Double.NaN),
            r.number("latency_ms", Double.NaN), r.number("eps", Double.NaN),
            x0IsFreeSlots ? r.number("x0", Double.NaN) : Double.NaN, r.number("x1", Double.NaN));
    }
}
