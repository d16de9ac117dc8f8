package coriandersill.core;

import java.util.Objects;

/**
 * The name of a workspace: a tenant with its own API keys, capacity share and limits.
 *
 * <pre>{@code
 * WorkspaceName name = WorkspaceName.of("criers-north");
 * }</pre>
 *
 * @param value 1 to 200 letters, digits and {@code . _ - :}
 */
public record WorkspaceName(String value) implements Comparable<WorkspaceName> {

    /** Throws {@link IllegalArgumentException} if the name is null, empty, too long or contains other characters. */
    public WorkspaceName {
        Names.check("workspace", value);
    }

    /** Returns the name with the given text; throws {@link NullPointerException} if it is null. */
    public static WorkspaceName of(String value) {
        return new WorkspaceName(Objects.requireNonNull(value, "value"));
    }

    @Override
    public int compareTo(WorkspaceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
