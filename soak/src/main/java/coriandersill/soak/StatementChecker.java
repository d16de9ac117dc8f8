package coriandersill.soak;

import coriandersill.platform.StandInUpstream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks, from what callers and upstreams saw, that each entry obeys what upstreams say of themselves. */
final class StatementChecker {
    /**
     * The time after which no call may reach an upstream that said that it leaves, with some for the callers' clocks.
     */
    private static final Duration MAX_REACTION_TIME = Duration.ofMillis(2_300);

    /** The time after which requests count that reach an upstream which asked for none. */
    private static final Duration QUIET_SLACK = Duration.ofMillis(500);

    /** The number of requests of one entry that may reach an upstream in a quiet time. */
    private static final int MAX_REQUESTS_IN_QUIET_TIME = 2;

    private final Map<String, CallResult> callsById = new HashMap<>();
    private final DisturbanceTracker disturbances;
    private final List<String> violations = new ArrayList<>();

    private StatementChecker(List<CallResult> calls, DisturbanceTracker disturbances) {
        calls.forEach(call -> callsById.put(call.id(), call));
        this.disturbances = disturbances;
    }

    /** Returns a description of each violation found. */
    static List<String> violations(List<CallResult> calls, List<Upstream> upstreams, DisturbanceTracker disturbances) {
        StatementChecker checker = new StatementChecker(calls, disturbances);
        upstreams.forEach(checker::check);
        return checker.violations;
    }

    private void check(Upstream upstream) {
        for (Statement statement : upstream.statements()) {
            CallResult answered = callsById.get(statement.callId());
            if (answered == null) {
                continue;
            }
            if (statement.quietUntilNanos() > statement.atNanos()) {
                checkQuietTime(upstream, statement, answered.entry());
            } else if (answered.status() != 0 && answered.complete()) {
                checkLeaving(upstream, answered);
            }
        }
    }

    /** Checks that no call which was sent well after the answer reached the upstream through the same entry. */
    private void checkLeaving(Upstream upstream, CallResult answered) {
        for (StandInUpstream.ReceivedRequest request : upstream.server().received()) {
            CallResult call = callsById.get(request.attemptId());
            boolean late = call != null
                    && call.entry().equals(answered.entry())
                    && call.sentAtNanos() - answered.endedAtNanos() > MAX_REACTION_TIME.toNanos();
            if (late && !disturbances.isInterrupted(call.entry(), answered.sentAtNanos(), request.receivedAtNanos())) {
                violations.add("reached " + upstream.id() + ", which had said by " + answered.id() + " that it leaves: "
                        + call);
            }
        }
    }

    /** Checks that at most some requests of an entry reached the upstream in the time for which it wanted none. */
    private void checkQuietTime(Upstream upstream, Statement statement, String entry) {
        long fromNanos = statement.atNanos() + QUIET_SLACK.toNanos();
        if (disturbances.isInterrupted(entry, statement.atNanos(), statement.quietUntilNanos())
                || disturbances.isInterrupted(upstream.id(), statement.atNanos(), statement.quietUntilNanos())) {
            return;
        }
        List<String> requests = upstream.server().received().stream()
                .filter(request -> request.receivedAtNanos() - fromNanos > 0
                        && request.receivedAtNanos() - statement.quietUntilNanos() < 0)
                .map(StandInUpstream.ReceivedRequest::attemptId)
                .filter(id ->
                        callsById.containsKey(id) && callsById.get(id).entry().equals(entry))
                .toList();
        if (requests.size() > MAX_REQUESTS_IN_QUIET_TIME) {
            violations.add("reached " + upstream.id() + " from " + entry + " in the quiet time that it asked for by "
                    + statement.callId() + ": " + requests);
        }
    }
}
