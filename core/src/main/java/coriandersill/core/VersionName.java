package coriandersill.core;

import java.util.Objects;

/**
 * The name of a version of a service.
 *
 * <pre>{@code
 * VersionName name = VersionName.of("v1");
 * }</pre>
 *
 * @param value from 1 to 200 letters, digits and {@code . _ - :}
 */
public record VersionName(String value) implements Comparable<VersionName> {

    /** Checks the name; throws {@link IllegalArgumentException} when it is empty, too long or has other characters. */
    public VersionName {
        Names.check("version", value);
    }

    /** Returns the name for its text; null is refused. */
    public static VersionName of(String value) {
        return new VersionName(Objects.requireNonNull(value, "value"));
    }

    @Override
    public int compareTo(VersionName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
