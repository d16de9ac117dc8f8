package coriandersill.admission;

import coriandersill.core.WorkspaceName;
import java.util.Comparator;
import java.util.TreeSet;

/** Fair-queueing state of one workspace at one upstream; guarded by the lock of {@link PredictiveAdmission}. */
final class Account {
    final WorkspaceName workspace;
    final TreeSet<WaitingRequest> waiting = new TreeSet<>(
            Comparator.comparingInt((WaitingRequest entry) -> -entry.request().priority())
                    .thenComparingLong(WaitingRequest::sequence));
    double weight = 1;
    /** The virtual time up to which the workspace has been charged for service. */
    double finishTag;

    int running;
    /** Engine memory held by its running calls, in tokens. */
    long heldTokens;

    /** When a request of the workspace was last offered, or one of its running calls last ended. */
    long lastSeenNanos;
    /** Requests of other workspaces admitted while the first waiting request of this one did not fit. */
    int bypassCount;

    /** A waiting request with its arrival number and the time at which its wait expires. */
    record WaitingRequest(AdmissionRequest request, long sequence, long waitUntilNanos) {}

    Account(WorkspaceName workspace) {
        this.workspace = workspace;
    }

    boolean isIdle() {
        return running == 0 && waiting.isEmpty();
    }

    double startTag(double virtualTime) {
        return Math.max(virtualTime, finishTag);
    }

    void charge(double cost) {
        finishTag += cost / weight;
    }

    /** Removes the waiting request with the lowest priority, the latest one among equals. */
    WaitingRequest removeLast() {
        return waiting.pollLast();
    }
}
