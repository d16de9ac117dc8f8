package coriandersill.core;

import java.util.Objects;

/**
 * The name of one process of the system, unique among the live ones.
 *
 * <pre>{@code
 * InstanceId name = InstanceId.of("entry-1");
 * }</pre>
 *
 * @param value from 1 to 200 letters, digits and {@code . _ - :}
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

    /** Checks the name; throws {@link IllegalArgumentException} when it is empty, too long or has other characters. */
    public InstanceId {
        Names.check("instance", value);
    }

    /** Returns the name for its text; null is refused. */
    public static InstanceId of(String value) {
        return new InstanceId(Objects.requireNonNull(value, "value"));
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
