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
 * Reads the fields of one JSON object and collects all problems instead of stopping at the first.
 *
 * <p>A missing or invalid field adds a problem and yields a placeholder; the caller must not use the result if there
 * are problems. If the value is not an object, that is reported as one problem; its fields are not reported, except
 * those read with {@link #object}, each of which is then reported as missing. {@link #reportUnknownFields()} reports
 * the fields that were not read. Not thread-safe.
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
        boolean isObject = node != null && node.isObject();
        if (!isObject) {
            problems.add(new Problem(document, path, "an object", describe(node)));
        }
        this.node = isObject ? node : null;
    }

    /** Returns a reader of {@code node}, the root of a document, that adds to {@code problems}. */
    public static FieldReader of(String document, JsonNode node, List<Problem> problems) {
        return new FieldReader(document, "", node, problems);
    }

    /** Returns a reader of a JSON text that adds to {@code problems}; invalid JSON is reported as the only problem. */
    public static FieldReader parse(String document, byte[] bytes, List<Problem> problems) {
        Json.Parsed parsed = Json.parse(document, bytes);
        if (parsed.problem().isPresent()) {
            problems.add(parsed.problem().get());
            // The separate list discards the problems of fields that are missing only because the JSON is invalid.
            return new FieldReader(document, "", JsonNodeFactory.instance.objectNode(), new ArrayList<>());
        }
        return of(document, parsed.node(), problems);
    }

    /** Returns whether the field is present and not null. */
    public boolean has(String field) {
        return node != null && node.hasNonNull(field);
    }

    /** Reads a string, which may be empty. */
    public String text(String field) {
        JsonNode value = get(field);
        return (value != null && value.isTextual()) ? value.textValue() : reportInvalid(field, "a text", value, "");
    }

    /** Reads an identifier: 1 to 200 letters, digits, {@code .}, {@code _}, {@code -} or {@code :}. */
    public String name(String field) {
        JsonNode value = get(field);
        return node == null ? INVALID_NAME : parseName(path(field), value);
    }

    /** Reads a string that matches {@code pattern} completely. */
    public String text(String field, Pattern pattern, String expected, String placeholder) {
        JsonNode value = get(field);
        boolean valid = value != null
                && value.isTextual()
                && pattern.matcher(value.textValue()).matches();
        return valid ? value.textValue() : reportInvalid(field, expected, value, placeholder);
    }

    /** Reads a string that is a key of {@code values}, and returns the value of that key. */
    public <T> T oneOf(String field, Map<String, T> values, T placeholder) {
        JsonNode value = get(field);
        T found = value != null && value.isTextual() ? values.get(value.textValue()) : null;
        return found != null ? found : reportInvalid(field, "one of " + values.keySet(), value, placeholder);
    }

    /** Reads a {@code long} from {@code min} to {@code max}. */
    public long longValue(String field, long min, long max) {
        JsonNode value = get(field);
        boolean valid = value != null
                && value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= min
                && value.longValue() <= max;
        String expected = "an integer from " + min + " to " + max;
        return valid ? value.longValue() : reportInvalid(field, expected, value, min);
    }

    /** Reads an {@code int} from {@code min} to {@code max}. */
    public int intValue(String field, int min, int max) {
        return Math.toIntExact(longValue(field, min, max));
    }

    /** Reads a number greater than {@code exclusiveMin} and at most {@code max}. */
    public double doubleValue(String field, double exclusiveMin, double max) {
        JsonNode value = get(field);
        boolean valid =
                value != null && value.isNumber() && value.doubleValue() > exclusiveMin && value.doubleValue() <= max;
        String expected = "a number above " + toPlainString(exclusiveMin) + " and at most " + toPlainString(max);
        return valid ? value.doubleValue() : reportInvalid(field, expected, value, max);
    }

    /** Reads a boolean. */
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

    /** Reads a required list of objects. */
    public <T> List<T> objects(String field, Function<FieldReader, T> reader) {
        List<T> values = new ArrayList<>();
        for (JsonNode element : elements(field)) {
            FieldReader elementReader =
                    new FieldReader(document, path(field) + "[" + values.size() + "]", element, problems);
            values.add(reader.apply(elementReader));
            elementReader.reportUnknownFields();
        }
        return values;
    }

    /** Reads a required list of distinct identifiers. */
    public List<String> names(String field) {
        List<String> values = new ArrayList<>();
        for (JsonNode element : elements(field)) {
            String elementPath = path(field) + "[" + values.size() + "]";
            String name = parseName(elementPath, element);
            if (values.contains(name)) {
                problems.add(new Problem(document, elementPath, "names used once", describe(element)));
            }
            values.add(name);
        }
        return values;
    }

    /** Reads an object whose field names are identifiers and whose values are objects. */
    public <T> Map<String, T> objectsByName(String field, Function<FieldReader, T> reader) {
        Map<String, T> values = new LinkedHashMap<>();
        JsonNode value = get(field);
        if (value == null || !value.isObject()) {
            return reportInvalid(field, "an object", value, values);
        }
        value.fields().forEachRemaining(entry -> {
            String elementPath = path(field) + "." + entry.getKey();
            parseName(elementPath, JsonNodeFactory.instance.textNode(entry.getKey()));
            FieldReader elementReader = new FieldReader(document, elementPath, entry.getValue(), problems);
            values.put(entry.getKey(), reader.apply(elementReader));
            elementReader.reportUnknownFields();
        });
        return values;
    }

    /** Returns the raw value of a field; null when it is missing. */
    public JsonNode rawValue(String field) {
        return get(field);
    }

    /** Reports a problem of a field. */
    public void addProblem(String field, String expected, String found) {
        problems.add(new Problem(document, path(field), expected, found));
    }

    /** Reports every field of the object that was not read. */
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

    private <T> T parseText(String field, String expected, Function<String, T> parser, T placeholder) {
        JsonNode value = get(field);
        if (value != null && value.isTextual()) {
            try {
                return parser.apply(value.textValue());
            } catch (DateTimeException e) {
                return reportInvalid(field, expected, value, placeholder);
            }
        }
        return reportInvalid(field, expected, value, placeholder);
    }

    private String parseName(String valuePath, JsonNode value) {
        if (value != null
                && value.isTextual()
                && NAME.matcher(value.textValue()).matches()) {
            return value.textValue();
        }
        problems.add(new Problem(document, valuePath, NAME_EXPECTED, describe(value)));
        return INVALID_NAME;
    }

    private JsonNode get(String field) {
        requestedFields.add(field);
        return node == null ? null : node.get(field);
    }

    private <T> T reportInvalid(String field, String expected, JsonNode value, T placeholder) {
        if (node != null) {
            addProblem(field, expected, describe(value));
        }
        return placeholder;
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
