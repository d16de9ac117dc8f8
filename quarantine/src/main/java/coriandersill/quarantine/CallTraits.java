package coriandersill.quarantine;

import coriandersill.core.WorkspaceName;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * What a generation has in common with others.
 *
 * @param workspace the caller's workspace; empty if there is none, or if it does not matter
 * @param parts the shared parts of its prompt
 */
public record CallTraits(Optional<WorkspaceName> workspace, Set<PromptPart> parts) {

    /** Copies the set; throws {@link NullPointerException} if an argument is null. */
    public CallTraits {
        Objects.requireNonNull(workspace, "workspace");
        parts = Set.copyOf(parts);
    }

    /** Returns the traits of a generation. */
    public static CallTraits of(Optional<WorkspaceName> workspace, Collection<PromptPart> parts) {
        return new CallTraits(workspace, new LinkedHashSet<>(parts));
    }

    /** Returns whether a generation with these traits has all traits of {@code scope}. */
    public boolean containsAll(CallTraits scope) {
        boolean sameWorkspace = scope.workspace.isEmpty() || scope.workspace.equals(workspace);
        return sameWorkspace && parts.containsAll(scope.parts);
    }

    @Override
    public String toString() {
        return workspace.map(name -> "workspace " + name + ", ").orElse("") + "parts " + parts;
    }

    /** Returns the traits that both have. */
    public CallTraits intersect(CallTraits other) {
        Set<PromptPart> common = new LinkedHashSet<>(parts);
        common.retainAll(other.parts);
        return new CallTraits(workspace.equals(other.workspace) ? workspace : Optional.empty(), common);
    }
}
