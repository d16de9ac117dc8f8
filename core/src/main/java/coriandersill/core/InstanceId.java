package coriandersill.core;

import java.util.Objects;
import java.util.Optional;

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

    /** Returns the identifier with the given text; empty if the text, which may be null, is none. */
    public static Optional<InstanceId> parse(String value) {
        return Names.isValid(value) ? Optional.of(new InstanceId(value)) : Optional.empty();
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
