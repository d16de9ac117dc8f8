package coriandersill.routing.internal;

import coriandersill.core.InstanceId;
import coriandersill.routing.Candidate;
import coriandersill.routing.CandidateInfo;
import coriandersill.routing.LoadReport;
import coriandersill.routing.OtherEntriesLoad;
import java.util.HashMap;
import java.util.Map;

/** This entry's calls in flight and the last load report of each instance; guarded by the owner's lock. */
public final class InstanceTable {
    private final long reportLifetimeNanos;
    private final Map<InstanceId, State> states = new HashMap<>();

    /** Creates an empty table that ignores load of other entries that is older than {@code reportLifetimeNanos}. */
    public InstanceTable(long reportLifetimeNanos) {
        this.reportLifetimeNanos = reportLifetimeNanos;
    }

    /** Adds a call in flight that is predicted to use {@code tokens} of engine memory. */
    public void reserve(InstanceId instance, int tokens) {
        State state = states.computeIfAbsent(instance, id -> new State());
        state.inFlight++;
        state.reservedTokens += tokens;
    }

    /** Removes a call in flight; returns false if there was none. */
    public boolean release(InstanceId instance, int tokens) {
        State state = states.get(instance);
        if (state == null || state.inFlight == 0) {
            return false;
        }
        state.inFlight--;
        if (state.inFlight == 0) {
            state.pendingPromptTokens = 0;
        }
        state.reservedTokens = state.inFlight == 0 ? 0 : Math.max(0, state.reservedTokens - tokens);
        return true;
    }

    /** Stores a report and derives the load of other entries by subtracting this entry's calls. */
    public void recordReport(InstanceId instance, LoadReport report, long nowNanos) {
        State state = states.computeIfAbsent(instance, id -> new State());
        state.report = report;
        state.reportedAtNanos = nowNanos;
        state.otherEntriesInFlight = Math.max(0, report.running() + report.waiting() - state.inFlight);
        state.tokensPerCall = report.running() == 0 ? 0 : report.reservedTokens() / (double) report.running();
        state.otherEntriesReservedTokens = (long) (state.otherEntriesInFlight * state.tokensPerCall);
    }

    /**
     * Adds prompt tokens that an instance has yet to prefill, or removes prefilled ones if {@code tokens} is negative.
     */
    public void adjustPendingPromptTokens(InstanceId instance, int tokens) {
        State state = states.get(instance);
        if (state != null) {
            state.pendingPromptTokens = Math.max(0, state.pendingPromptTokens + tokens);
        }
    }

    /** Replaces the load of other entries at an instance. */
    public void updateOtherEntriesLoad(InstanceId instance, OtherEntriesLoad load, long nowNanos) {
        State state = states.computeIfAbsent(instance, id -> new State());
        state.otherEntriesLoad = load;
        state.otherEntriesUpdatedAtNanos = nowNanos;
    }

    /** Returns the last load of other entries at an instance; none if it is older than the report lifetime. */
    public OtherEntriesLoad otherEntriesLoad(InstanceId instance, long nowNanos) {
        State state = states.get(instance);
        boolean known = state != null
                && state.otherEntriesLoad != null
                && nowNanos - state.otherEntriesUpdatedAtNanos <= reportLifetimeNanos;
        return known ? state.otherEntriesLoad : OtherEntriesLoad.NONE;
    }

    /** Removes the state of an instance. */
    public void remove(InstanceId instance) {
        states.remove(instance);
    }

    /** Returns the number of this entry's calls in flight at an instance. */
    public int inFlight(InstanceId instance) {
        State state = states.get(instance);
        return state == null ? 0 : state.inFlight;
    }

    /** Returns an instance with its estimated load at {@code nowNanos}. */
    public Candidate candidate(CandidateInfo info, long nowNanos) {
        State state = states.get(info.instance());
        if (state == null) {
            return new Candidate(
                    info.instance(), info.zone(), info.version(), 0, 0, 0, info.limit(), info.memoryTokens());
        }
        if (state.otherEntriesLoad != null) {
            return withOtherEntriesLoad(info, state, nowNanos);
        }
        LoadReport report = state.report;
        double weight =
                report == null ? 0 : Math.max(0, 1 - (nowNanos - state.reportedAtNanos) / (double) reportLifetimeNanos);
        return new Candidate(
                info.instance(),
                info.zone(),
                info.version(),
                state.inFlight,
                Math.max(state.reservedTokens, (long) (state.inFlight * state.tokensPerCall)),
                (int) Math.round(weight * state.otherEntriesInFlight),
                (long) (weight * state.otherEntriesReservedTokens),
                report == null ? info.limit() : Math.max(1, report.limit()),
                report == null ? info.memoryTokens() : report.memoryTokens(),
                state.pendingPromptTokens);
    }

    private Candidate withOtherEntriesLoad(CandidateInfo info, State state, long nowNanos) {
        OtherEntriesLoad otherEntries = otherEntriesLoad(info.instance(), nowNanos);
        return new Candidate(
                info.instance(),
                info.zone(),
                info.version(),
                state.inFlight,
                state.reservedTokens,
                otherEntries.inFlight(),
                otherEntries.reservedTokens(),
                info.limit(),
                info.memoryTokens(),
                state.pendingPromptTokens + otherEntries.pendingPromptTokens());
    }

    /** The tracked load of one instance. */
    private static final class State {
        private int inFlight;
        private long reservedTokens;
        private LoadReport report;
        private long reportedAtNanos;
        private int otherEntriesInFlight;
        private long otherEntriesReservedTokens;
        private double tokensPerCall;
        private long pendingPromptTokens;
        private OtherEntriesLoad otherEntriesLoad;
        private long otherEntriesUpdatedAtNanos;
    }
}
