package coriandersill.core;

import java.util.regex.Pattern;

/** Validates the text of names and identifiers. */
final class Names {
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9._:-]{1,200}");

    private Names() {}

    static boolean isValid(String value) {
        return value != null && ALLOWED.matcher(value).matches();
    }

    static void check(String kind, String value) {
        if (!isValid(value)) {
            throw new IllegalArgumentException(
                    kind + ": expected 1 to 200 letters, digits, '.', '_', '-' or ':', found \"" + value + "\"");
        }
    }
}
