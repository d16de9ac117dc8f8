package coriandersill.eras;

import java.util.List;
import java.util.regex.Pattern;

/** What an answer of a log says of its era. */
public sealed interface EraStatement {
    /** The answer does not say it. */
    EraStatement NONE = new None();

    /** An answer that says nothing of its era. */
    record None() implements EraStatement {}

    /**
     * An answer that states its era.
     *
     * @param era the era, at least 1
     */
    record Stated(long era) implements EraStatement {}

    /**
     * An answer whose statement is malformed or repeated.
     *
     * @param found what it says, shortened
     */
    record Invalid(String found) implements EraStatement {}

    /** A whole number of at most 15 digits, from 1 on. */
    Pattern ERA = Pattern.compile("[1-9][0-9]{0,14}");

    /** The maximum length of an invalid statement in a message. */
    int MAX_FOUND_CHARACTERS = 60;

    /** Returns what the values of an answer's era say. */
    static EraStatement of(List<String> values) {
        if (values.isEmpty()) {
            return NONE;
        }
        String first = values.get(0).trim();
        if (values.size() > 1 || !ERA.matcher(first).matches()) {
            String found = String.join(" and ", values);
            return new Invalid(found.substring(0, Math.min(MAX_FOUND_CHARACTERS, found.length())));
        }
        return new Stated(Long.parseLong(first));
    }
}
