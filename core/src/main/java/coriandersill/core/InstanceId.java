package coriandersill.core;

import java.util.Objects;

/**
 * The identifier of an instance, which is an entry, a sidecar or an upstream; unique among running instances.
 *
 * <pre>{@code
 * InstanceId id = InstanceId.of("entry-1");
 * }</pre>
 *
 * @param value 1 to 200 letters, digits and {@code . _ - :}
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

    /**
     * Throws {@link IllegalArgumentException} if the identifier is null, empty, too long or contains other characters.
     */
    public InstanceId {
        Names.check("instance", value);
    }

    /** Returns the identifier with the given text; throws {@link NullPointerException} if it is null. */
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
