package coriandersill.routing.internal;

import coriandersill.core.InstanceId;
import coriandersill.routing.Candidate;
import coriandersill.routing.CandidateInfo;
import coriandersill.routing.LoadReport;
import coriandersill.routing.OtherEntriesLoad;
import java.util.HashMap;
import java.util.Map;

/** Own calls in flight and the last report of each instance; guarded by the lock of its owner. */
public final class InstanceTable {
    private final long reportLifetimeNanos;
    private final Map<InstanceId, State> states = new HashMap<>();

    /** Creates an empty table. */
    public InstanceTable(long reportLifetimeNanos) {
        this.reportLifetimeNanos = reportLifetimeNanos;
    }

    /** Counts one more call in flight. */
    public void reserve(InstanceId instance, int tokens) {
        State state = states.computeIfAbsent(instance, id -> new State());
        state.inFlight++;
        state.reservedTokens += tokens;
    }

    /** Counts one call less in flight; returns whether there was one. */
    public boolean release(InstanceId instance, int tokens) {
        State state = states.get(instance);
        if (state == null || state.inFlight == 0) {
            return false;
        }
        state.inFlight--;
        if (state.inFlight == 0) {
            state.unreadPromptTokens = 0;
        }
        state.reservedTokens = state.inFlight == 0 ? 0 : Math.max(0, state.reservedTokens - tokens);
        return true;
    }

    /** Keeps a report, with what of it are own calls. */
    public void report(InstanceId instance, LoadReport report, long now) {
        State state = states.computeIfAbsent(instance, id -> new State());
        state.report = report;
        state.reportedAt = now;
        state.othersInFlight = Math.max(0, report.running() + report.waiting() - state.inFlight);
        state.tokensPerCall = report.running() == 0 ? 0 : report.reservedTokens() / (double) report.running();
        state.othersTokens = (long) (state.othersInFlight * state.tokensPerCall);
    }

    /** Counts prompt tokens that an instance has been given, or has read where {@code tokens} is negative. */
    public void unreadPrompt(InstanceId instance, int tokens) {
        State state = states.get(instance);
        if (state != null) {
            state.unreadPromptTokens = Math.max(0, state.unreadPromptTokens + tokens);
        }
    }

    /** Keeps what others have in flight at an instance, in place of what was known of them. */
    public void others(InstanceId instance, OtherEntriesLoad load, long now) {
        State state = states.computeIfAbsent(instance, id -> new State());
        state.others = load;
        state.othersAt = now;
    }

    /** Forgets an instance. */
    public void forget(InstanceId instance) {
        states.remove(instance);
    }

    /** Returns own calls in flight at an instance. */
    public int inFlight(InstanceId instance) {
        State state = states.get(instance);
        return state == null ? 0 : state.inFlight;
    }

    /** Returns how an instance looks at {@code now}. */
    public Candidate candidate(CandidateInfo info, long now) {
        State state = states.get(info.instance());
        if (state == null) {
            return new Candidate(
                    info.instance(), info.zone(), info.version(), 0, 0, 0, info.limit(), info.memoryTokens());
        }
        if (state.others != null) {
            return withOthers(info, state, now);
        }
        LoadReport report = state.report;
        double weight = report == null ? 0 : Math.max(0, 1 - (now - state.reportedAt) / (double) reportLifetimeNanos);
        return new Candidate(
                info.instance(),
                info.zone(),
                info.version(),
                state.inFlight,
                Math.max(state.reservedTokens, (long) (state.inFlight * state.tokensPerCall)),
                (int) Math.round(weight * state.othersInFlight),
                (long) (weight * state.othersTokens),
                report == null ? info.limit() : Math.max(1, report.limit()),
                report == null ? info.memoryTokens() : report.memoryTokens(),
                state.unreadPromptTokens);
    }

    private Candidate withOthers(CandidateInfo info, State state, long now) {
        OtherEntriesLoad others = now - state.othersAt > reportLifetimeNanos ? OtherEntriesLoad.NONE : state.others;
        return new Candidate(
                info.instance(),
                info.zone(),
                info.version(),
                state.inFlight,
                state.reservedTokens,
                others.inFlight(),
                others.reservedTokens(),
                info.limit(),
                info.memoryTokens(),
                state.unreadPromptTokens + others.pendingPromptTokens());
    }

    /** What is known of one instance. */
    private static final class State {
        private int inFlight;
        private long reservedTokens;
        private LoadReport report;
        private long reportedAt;
        private int othersInFlight;
        private long othersTokens;
        private double tokensPerCall;
        private long unreadPromptTokens;
        private OtherEntriesLoad others;
        private long othersAt;
    }
}
