package coriandersill.documents;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import coriandersill.configuration.Problem;
import coriandersill.documents.internal.Json;
import java.math.BigDecimal;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Reads the fields of one JSON object and collects every problem instead of stopping at the first.
 *
 * <p>A field that is missing or wrong gives a problem and a harmless value; the caller builds nothing when there are
 * problems. {@link #reportUnknownFields()} reports the fields that were not asked for. One thread uses it.
 */
public final class FieldReader {
    private static final int MAX_DESCRIPTION_LENGTH = 120;
    private static final String INVALID_NAME = "invalid";
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:-]{1,200}");
    private static final String NAME_EXPECTED = "1 to 200 letters, digits, '.', '_', '-' or ':'";

    private final String document;
    private final String path;
    private final JsonNode node;
    private final List<Problem> problems;
    private final Set<String> requestedFields = new HashSet<>();

    private FieldReader(String document, String path, JsonNode node, List<Problem> problems) {
        this.document = document;
        this.path = path;
        this.problems = problems;
        boolean object = node != null && node.isObject();
        if (!object) {
            problems.add(new Problem(document, path, "an object", describe(node)));
        }
        this.node = object ? node : null;
    }

    /** Returns a reader of the whole of {@code node} that adds to {@code problems}. */
    public static FieldReader of(String document, JsonNode node, List<Problem> problems) {
        return new FieldReader(document, "", node, problems);
    }

    /** Returns a reader of a JSON text that adds to {@code problems}, first of all when it is no JSON. */
    public static FieldReader parse(String document, byte[] bytes, List<Problem> problems) {
        Json.Parsed parsed = Json.parse(document, bytes);
        if (parsed.problem().isPresent()) {
            problems.add(parsed.problem().get());
            return new FieldReader(document, "", JsonNodeFactory.instance.objectNode(), new ArrayList<>());
        }
        return of(document, parsed.node(), problems);
    }

    /** Whether the field is there and not null. */
    public boolean has(String field) {
        return node != null && node.hasNonNull(field);
    }

    /** Reads a text; empty text is allowed. */
    public String text(String field) {
        JsonNode value = get(field);
        return (value != null && value.isTextual()) ? value.textValue() : reportInvalid(field, "a text", value, "");
    }

    /** Reads an identifier. */
    public String name(String field) {
        JsonNode value = get(field);
        return node == null ? INVALID_NAME : parseName(path(field), value);
    }

    /** Reads a text that matches {@code pattern} as a whole. */
    public String text(String field, Pattern pattern, String expected, String otherwise) {
        JsonNode value = get(field);
        boolean fits = value != null
                && value.isTextual()
                && pattern.matcher(value.textValue()).matches();
        return fits ? value.textValue() : reportInvalid(field, expected, value, otherwise);
    }

    /** Reads one of the given words. */
    public <T> T oneOf(String field, Map<String, T> words, T otherwise) {
        JsonNode value = get(field);
        T found = value != null && value.isTextual() ? words.get(value.textValue()) : null;
        return found != null ? found : reportInvalid(field, "one of " + words.keySet(), value, otherwise);
    }

    /** Reads an integer from {@code min} to {@code max}. */
    public long longValue(String field, long min, long max) {
        JsonNode value = get(field);
        boolean fits = value != null
                && value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= min
                && value.longValue() <= max;
        String expected = "an integer from " + min + " to " + max;
        return fits ? value.longValue() : reportInvalid(field, expected, value, min);
    }

    /** Reads an integer of the range of {@code int} from {@code min} to {@code max}. */
    public int intValue(String field, int min, int max) {
        return Math.toIntExact(longValue(field, min, max));
    }

    /** Reads a number above {@code above} and at most {@code max}. */
    public double doubleValue(String field, double above, double max) {
        JsonNode value = get(field);
        boolean fits = value != null && value.isNumber() && value.doubleValue() > above && value.doubleValue() <= max;
        String expected = "a number above " + toPlainString(above) + " and at most " + toPlainString(max);
        return fits ? value.doubleValue() : reportInvalid(field, expected, value, max);
    }

    /** Reads true or false. */
    public boolean booleanValue(String field) {
        JsonNode value = get(field);
        return (value != null && value.isBoolean())
                ? value.booleanValue()
                : reportInvalid(field, "true or false", value, false);
    }

    /** Reads a time, for example {@code 2026-03-01T06:00:00Z}. */
    public Instant instant(String field) {
        return parseText(field, "a time such as 2026-03-01T06:00:00Z", Instant::parse, Instant.EPOCH);
    }

    /** Reads a duration of zero or more, for example {@code PT5M}. */
    public Duration duration(String field) {
        Duration value = parseText(field, "a duration such as PT5M", Duration::parse, Duration.ZERO);
        return value.isNegative()
                ? reportInvalid(field, "a duration of zero or more", get(field), Duration.ZERO)
                : value;
    }

    /** Reads an object. */
    public FieldReader object(String field) {
        return new FieldReader(document, path(field), get(field), problems);
    }

    /** Reads a list of objects; a missing list is wrong. */
    public <T> List<T> objects(String field, Function<FieldReader, T> reader) {
        List<T> all = new ArrayList<>();
        for (JsonNode element : elements(field)) {
            FieldReader one = new FieldReader(document, path(field) + "[" + all.size() + "]", element, problems);
            all.add(reader.apply(one));
            one.reportUnknownFields();
        }
        return all;
    }

    /** Reads a list of identifiers without repeats. */
    public List<String> names(String field) {
        List<String> all = new ArrayList<>();
        for (JsonNode element : elements(field)) {
            String where = path(field) + "[" + all.size() + "]";
            String name = parseName(where, element);
            if (all.contains(name)) {
                problems.add(new Problem(document, where, "names used once", describe(element)));
            }
            all.add(name);
        }
        return all;
    }

    /** Reads an object whose fields are identifiers and whose values are objects. */
    public <T> Map<String, T> objectsByName(String field, Function<FieldReader, T> reader) {
        Map<String, T> all = new LinkedHashMap<>();
        JsonNode value = get(field);
        if (value == null || !value.isObject()) {
            return reportInvalid(field, "an object", value, all);
        }
        value.fields().forEachRemaining(entry -> {
            String where = path(field) + "." + entry.getKey();
            parseName(where, JsonNodeFactory.instance.textNode(entry.getKey()));
            FieldReader one = new FieldReader(document, where, entry.getValue(), problems);
            all.put(entry.getKey(), reader.apply(one));
            one.reportUnknownFields();
        });
        return all;
    }

    /** Returns the raw value of a field; null when it is missing. */
    public JsonNode raw(String field) {
        return get(field);
    }

    /** Adds a problem of a field. */
    public void addProblem(String field, String expected, String found) {
        problems.add(new Problem(document, path(field), expected, found));
    }

    /** Reports every field that was not asked for. */
    public void reportUnknownFields() {
        if (node != null) {
            node.fieldNames().forEachRemaining(field -> {
                if (!requestedFields.contains(field)) {
                    addProblem(field, "no such field", describe(node.get(field)));
                }
            });
        }
    }

    private Iterable<JsonNode> elements(String field) {
        JsonNode value = get(field);
        return (value != null && value.isArray()) ? value : reportInvalid(field, "a list", value, List.of());
    }

    private <T> T parseText(String field, String expected, Function<String, T> parser, T otherwise) {
        JsonNode value = get(field);
        if (value != null && value.isTextual()) {
            try {
                return parser.apply(value.textValue());
            } catch (DateTimeException e) {
                return reportInvalid(field, expected, value, otherwise);
            }
        }
        return reportInvalid(field, expected, value, otherwise);
    }

    private String parseName(String where, JsonNode value) {
        if (value != null
                && value.isTextual()
                && NAME.matcher(value.textValue()).matches()) {
            return value.textValue();
        }
        problems.add(new Problem(document, where, NAME_EXPECTED, describe(value)));
        return INVALID_NAME;
    }

    private JsonNode get(String field) {
        requestedFields.add(field);
        return node == null ? null : node.get(field);
    }

    private <T> T reportInvalid(String field, String expected, JsonNode value, T otherwise) {
        if (node != null) {
            addProblem(field, expected, describe(value));
        }
        return otherwise;
    }

    private String path(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    private static String describe(JsonNode value) {
        return Optional.ofNullable(value)
                .map(JsonNode::toString)
                .map(text -> text.length() > MAX_DESCRIPTION_LENGTH
                        ? text.substring(0, MAX_DESCRIPTION_LENGTH) + "..."
                        : text)
                .orElse("nothing");
    }

    private static String toPlainString(double value) {
        return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
    }
}
