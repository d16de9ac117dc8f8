package coriandersill.scheduling;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** What the dispatched requests of each workspace cost, halved every ten seconds. Not thread-safe. */
public final class WorkspaceUsage {
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(10).toNanos();

    /** Usage that has fallen to this fraction of one token for one step is forgotten. */
    private static final double MIN_USAGE = 1e-3;

    /** The number of workspaces from which forgotten ones are removed. */
    private static final int CLEANUP_SIZE = 64;

    private final Map<String, Usage> usages = new HashMap<>();

    /** A cost and when it was determined. */
    private record Usage(double cost, long atNanos) {
        double at(long nowNanos) {
            return cost * Math.pow(0.5, Math.max(0, nowNanos - atNanos) / HALF_LIFE_NANOS);
        }
    }

    /** Returns the decayed cost of the workspace's requests. */
    double of(String workspace, long nowNanos) {
        Usage usage = usages.get(workspace);
        return usage == null ? 0 : usage.at(nowNanos);
    }

    /** Adds the cost of a dispatched request, or removes that of one that came back if {@code cost} is negative. */
    void add(String workspace, double cost, long nowNanos) {
        usages.put(workspace, new Usage(Math.max(0, of(workspace, nowNanos) + cost), nowNanos));
        if (usages.size() > CLEANUP_SIZE) {
            usages.values().removeIf(usage -> usage.at(nowNanos) < MIN_USAGE);
        }
    }
}
