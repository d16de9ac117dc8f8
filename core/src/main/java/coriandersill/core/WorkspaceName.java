package coriandersill.core;

import java.util.Objects;

/**
 * The name of a workspace: a tenant with its own keys, share and limits.
 *
 * <pre>{@code
 * WorkspaceName name = WorkspaceName.of("criers-north");
 * }</pre>
 *
 * @param value from 1 to 200 letters, digits and {@code . _ - :}
 */
public record WorkspaceName(String value) implements Comparable<WorkspaceName> {

    /** Checks the name; throws {@link IllegalArgumentException} when it is empty, too long or has other characters. */
    public WorkspaceName {
        Names.check("workspace", value);
    }

    /** Returns the name for its text; null is refused. */
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
