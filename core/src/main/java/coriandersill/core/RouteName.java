package coriandersill.core;

import java.util.Objects;

/**
 * The name of a route of a service: an endpoint whose calls behave alike.
 *
 * <pre>{@code
 * RouteName name = RouteName.of("chat");
 * }</pre>
 *
 * @param value from 1 to 200 letters, digits and {@code . _ - :}
 */
public record RouteName(String value) implements Comparable<RouteName> {

    /** Checks the name; throws {@link IllegalArgumentException} when it is empty, too long or has other characters. */
    public RouteName {
        Names.check("route", value);
    }

    /** Returns the name for its text; null is refused. */
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
