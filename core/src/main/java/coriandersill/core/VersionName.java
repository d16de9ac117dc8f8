package coriandersill.core;

import java.util.Objects;

/**
 * The name of a version of a service.
 *
 * <pre>{@code
 * VersionName name = VersionName.of("v1");
 * }</pre>
 *
 * @param value 1 to 200 letters, digits and {@code . _ - :}
 */
public record VersionName(String value) implements Comparable<VersionName> {

    /** Throws {@link IllegalArgumentException} if the name is null, empty, too long or contains other characters. */
    public VersionName {
        Names.check("version", value);
    }

    /** Returns the name with the given text; throws {@link NullPointerException} if it is null. */
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
