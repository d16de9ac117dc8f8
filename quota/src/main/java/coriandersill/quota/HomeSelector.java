package coriandersill.quota;

import coriandersill.core.InstanceId;
import coriandersill.core.WorkspaceName;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Selects the home of a workspace, the instance that grants shares of its cap, by rendezvous hashing: when instances
 * join or leave, only the workspaces whose home must change get another one.
 */
public final class HomeSelector {
    /** Part of the hash, so every instance must use the same value. */
    private static final long INITIAL_HASH = 1_125_899_906_842_597L;

    private static final long MIX_MULTIPLIER_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_MULTIPLIER_2 = 0x94d049bb133111ebL;

    private HomeSelector() {}

    /** Returns the home among {@code instances}; empty if there are no instances. */
    public static Optional<InstanceId> select(WorkspaceName workspace, Collection<InstanceId> instances) {
        return instances.stream()
                .max(Comparator.comparingLong((InstanceId instance) -> score(workspace, instance))
                        .thenComparing(Comparator.naturalOrder()));
    }

    private static long score(WorkspaceName workspace, InstanceId instance) {
        // Mixed by the finalizer of SplitMix64.
        long hash = hash(workspace.value()) * 31 + hash(instance.value());
        hash = (hash ^ (hash >>> 30)) * MIX_MULTIPLIER_1;
        hash = (hash ^ (hash >>> 27)) * MIX_MULTIPLIER_2;
        return hash ^ (hash >>> 31);
    }

    private static long hash(String text) {
        long hash = INITIAL_HASH;
        for (int i = 0; i < text.length(); i++) {
            hash = 31 * hash + text.charAt(i);
        }
        return hash;
    }
}
