package coriandersill.admission;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Admits up to a fixed number of requests and refuses the rest immediately; a baseline in policy comparisons. */
public final class FixedLimitAdmission implements AdmissionController {
    private final RankedLock lock = RankedLock.of(LockRank.ADMISSION);
    private final Set<CallId> running = new HashSet<>();
    private final int limit;

    private FixedLimitAdmission(int limit) {
        this.limit = limit;
    }

    /** Creates a controller that admits {@code limit} concurrent requests, at least 1. */
    public static FixedLimitAdmission of(int limit) {
        if (limit < 1) {
            throw new IllegalArgumentException("limit: expected 1 or more, found " + limit);
        }
        return new FixedLimitAdmission(limit);
    }

    @Override
    public AdmissionDecision offer(AdmissionRequest request) {
        return lock.with(() -> {
            if (running.size() >= limit) {
                return new AdmissionDecision.Refused(
                        request.id(), CallFailure.of(ErrorKind.OVERLOADED, "upstream is at its limit of " + limit));
            }
            running.add(request.id());
            return new AdmissionDecision.Admitted(request.id());
        });
    }

    @Override
    public void generated(CallId id, int tokens) {
        // The limit is fixed.
    }

    @Override
    public List<AdmissionDecision> finished(CallId id, Completion completion) {
        lock.run(() -> running.remove(id));
        return List.of();
    }

    @Override
    public List<AdmissionDecision> processQueue() {
        return List.of();
    }

    @Override
    public UpstreamLoad load() {
        return new UpstreamLoad(lock.with(running::size), 0, limit, false, 0, 0);
    }
}
