package coriandersill.soak;

import coriandersill.platform.StandInUpstream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the records of callers and upstreams against the guarantees of the system; {@link StreamChecker} has those on
 * the events of streams.
 */
final class ResultChecker {
    /** The time within which settled entries must act on a revoked key or on an upstream that is listed as leaving. */
    private static final Duration MAX_REACTION_TIME = Duration.ofMillis(2_300);

    /** Statuses that tell the caller that the call did not run, as in the relay's {@code ResponseValidator}. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private static final int STATUS_OK = 200;

    private final List<Upstream> upstreams;
    private final Map<String, Long> revokedAtNanos;
    private final Map<String, String> workspacesOfKeys;
    private final List<String> violations = new ArrayList<>();

    private ResultChecker(
            List<Upstream> upstreams, Map<String, Long> revokedAtNanos, Map<String, String> workspacesOfKeys) {
        this.upstreams = upstreams;
        this.revokedAtNanos = revokedAtNanos;
        this.workspacesOfKeys = workspacesOfKeys;
    }

    /** A request that an upstream executed. */
    private record Run(Upstream upstream, StandInUpstream.ReceivedRequest request) {}

    /** Returns a description of each violation found. */
    static List<String> violations(
            List<CallResult> calls,
            List<Upstream> upstreams,
            Map<String, Long> revokedAtNanos,
            Map<String, String> workspacesOfKeys) {
        ResultChecker checker = new ResultChecker(upstreams, revokedAtNanos, workspacesOfKeys);
        checker.checkAll(calls);
        return checker.violations;
    }

    private void checkAll(List<CallResult> calls) {
        Map<String, List<Run>> runsByCall = runsByCall();
        Map<String, CallResult> callsById = new HashMap<>();
        calls.forEach(call -> callsById.put(call.id(), call));
        runsByCall.forEach((id, runs) -> {
            if (!callsById.containsKey(id)) {
                violations.add("run without a caller: call " + id);
            }
        });
        for (CallResult call : calls) {
            List<Run> runs = runsByCall.getOrDefault(call.id(), List.of());
            checkExecutions(call, runs);
            checkResponse(call);
            checkApiKey(call, runs);
            checkLeavingUpstreams(call, runs);
        }
    }

    private Map<String, List<Run>> runsByCall() {
        Map<String, List<Run>> runs = new HashMap<>();
        for (Upstream upstream : upstreams) {
            for (StandInUpstream.ReceivedRequest request : upstream.server().received()) {
                if (!upstream.hasRefused(request.attemptId())) {
                    runs.computeIfAbsent(request.attemptId(), id -> new ArrayList<>())
                            .add(new Run(upstream, request));
                }
            }
        }
        return runs;
    }

    private void checkExecutions(CallResult call, List<Run> runs) {
        // A run that resumes from a copy continues an earlier run and is not counted again.
        long startedRuns =
                runs.stream().filter(run -> !run.request().resumesFromCopy()).count();
        if (call.kind().atMostOnce() && startedRuns > 1) {
            violations.add("ran " + startedRuns + " times: " + call);
        }
        if (call.kind().atMostOnce() && NOT_RUN_STATUSES.contains(call.status()) && startedRuns > 0) {
            violations.add("reported as not run, but ran: " + call);
        }
    }

    private void checkResponse(CallResult call) {
        if (call.status() != STATUS_OK || call.kind().streaming() || !call.complete()) {
            return;
        }
        String expectedBody = Upstream.responseBody(call.id());
        if (!call.body().equals(expectedBody)) {
            violations.add("response of another call: " + call + ": expected \"" + expectedBody + "\", found \""
                    + call.body() + "\"");
        }
    }

    private void checkApiKey(CallResult call, List<Run> runs) {
        Long keyRevokedAtNanos = revokedAtNanos.get(call.key());
        boolean sentAfterLimit =
                keyRevokedAtNanos != null && call.sentAtNanos() - keyRevokedAtNanos > MAX_REACTION_TIME.toNanos();
        if (sentAfterLimit && call.entrySettled() && !runs.isEmpty()) {
            violations.add("ran with a revoked key: " + call);
        }
        for (Run run : runs) {
            String expectedWorkspace = workspacesOfKeys.get(call.key());
            if (run.request().hasApiKey() || !run.request().workspace().equals(expectedWorkspace)) {
                violations.add("reached an upstream with its API key, or for another workspace: " + call
                        + ": expected no API key and " + expectedWorkspace + ", found "
                        + (run.request().hasApiKey() ? "an API key" : "no API key") + " and "
                        + run.request().workspace());
            }
        }
    }

    private void checkLeavingUpstreams(CallResult call, List<Run> runs) {
        for (Run run : runs) {
            long leavingAtNanos = run.upstream().leavingAtNanos();
            boolean sentAfterLimit = leavingAtNanos != Long.MAX_VALUE
                    && call.sentAtNanos() - leavingAtNanos > MAX_REACTION_TIME.toNanos();
            if (sentAfterLimit && call.entrySettled()) {
                violations.add("reached " + run.upstream().id() + ", which was leaving: " + call);
            }
        }
    }
}
