package coriandersill.core;

import java.util.Objects;

/**
 * The name of a service that callers address.
 *
 * <pre>{@code
 * ServiceName name = ServiceName.of("scribe");
 * }</pre>
 *
 * @param value 1 to 200 letters, digits and {@code . _ - :}
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /** Throws {@link IllegalArgumentException} if the name is null, empty, too long or contains other characters. */
    public ServiceName {
        Names.check("service", value);
    }

    /** Returns the name with the given text; throws {@link NullPointerException} if it is null. */
    public static ServiceName of(String value) {
        return new ServiceName(Objects.requireNonNull(value, "value"));
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
