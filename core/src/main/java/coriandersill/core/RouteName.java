package coriandersill.core;

import java.util.Objects;

/**
 * The name of a route of a service: an endpoint whose calls have similar behavior.
 *
 * <pre>{@code
 * RouteName name = RouteName.of("chat");
 * }</pre>
 *
 * @param value 1 to 200 letters, digits and {@code . _ - :}
 */
public record RouteName(String value) implements Comparable<RouteName> {

    /** Throws {@link IllegalArgumentException} if the name is null, empty, too long or contains other characters. */
    public RouteName {
        Names.check("route", value);
    }

    /** Returns the name with the given text; throws {@link NullPointerException} if it is null. */
    public static RouteName of(String value) {
        return new RouteName(Objects.requireNonNull(value, "value"));
    }

    @Override
    public int compareTo(RouteName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
