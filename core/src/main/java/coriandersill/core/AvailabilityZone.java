package coriandersill.core;

import java.util.Objects;

/**
 * The name of an availability zone.
 *
 * <pre>{@code
 * AvailabilityZone zone = AvailabilityZone.of("shewa-a");
 * }</pre>
 *
 * @param value 1 to 200 letters, digits and {@code . _ - :}
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

    /** Throws {@link IllegalArgumentException} if the name is null, empty, too long or contains other characters. */
    public AvailabilityZone {
        Names.check("availability zone", value);
    }

    /** Returns the name with the given text; throws {@link NullPointerException} if it is null. */
    public static AvailabilityZone of(String value) {
        return new AvailabilityZone(Objects.requireNonNull(value, "value"));
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
