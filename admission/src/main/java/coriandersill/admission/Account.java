package coriandersill.admission;

import coriandersill.core.WorkspaceName;
import java.util.Comparator;
import java.util.TreeSet;

/** The standing of one workspace at one upstream; guarded by the lock of {@link PredictiveAdmission}. */
final class Account {
    final WorkspaceName workspace;
    final TreeSet<Waiting> waiting = new TreeSet<>(
            Comparator.comparingInt((Waiting entry) -> -entry.request().priority())
                    .thenComparingLong(Waiting::sequence));
    double weight = 1;
    /** The virtual time at which the service charged so far ends. */
    double finishTag;

    int running;
    long lastSeenNanos;
    /** Requests of others admitted while the first of this workspace did not fit. */
    int bypassed;

    /** A request that waits. */
    record Waiting(AdmissionRequest request, long sequence, long waitUntilNanos) {}

    Account(WorkspaceName workspace) {
        this.workspace = workspace;
    }

    boolean idle() {
        return running == 0 && waiting.isEmpty();
    }

    double startTag(double virtualTime) {
        return Math.max(virtualTime, finishTag);
    }

    void charge(double cost) {
        finishTag += cost / weight;
    }

    /** Removes the entry that is last in this workspace's own order. */
    Waiting removeLast() {
        return waiting.pollLast();
    }
}
