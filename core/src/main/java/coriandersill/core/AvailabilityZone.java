package coriandersill.core;

import java.util.Objects;

/**
 * The name of an availability zone.
 *
 * <pre>{@code
 * AvailabilityZone name = AvailabilityZone.of("shewa-a");
 * }</pre>
 *
 * @param value from 1 to 200 letters, digits and {@code . _ - :}
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

    /** Checks the name; throws {@link IllegalArgumentException} when it is empty, too long or has other characters. */
    public AvailabilityZone {
        Names.check("availability zone", value);
    }

    /** Returns the name for its text; null is refused. */
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
