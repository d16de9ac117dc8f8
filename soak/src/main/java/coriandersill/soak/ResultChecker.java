package coriandersill.soak;

import coriandersill.platform.StandInUpstream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks the records of callers and upstreams against the guarantees of the system. */
final class ResultChecker {
    /** How soon settled entries must act on a revoked key or on an upstream that is listed as leaving. */
    private static final Duration MAX_REACTION_TIME = Duration.ofMillis(2_300);

    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
    private static final int STATUS_OK = 200;

    private final List<Upstream> upstreams;
    private final Map<String, Long> revokedAtNanos;
    private final Map<String, String> workspacesOfKeys;
    private final List<String> violations = new ArrayList<>();

    private ResultChecker(List<Upstream> upstreams, Map<String, Long> revokedAt, Map<String, String> workspaces) {
        this.upstreams = upstreams;
        this.revokedAtNanos = revokedAt;
        this.workspacesOfKeys = workspaces;
    }

    /** A request that an upstream executed. */
    private record Run(Upstream upstream, StandInUpstream.ReceivedRequest request) {}

    /** Returns a description of each violation found. */
    static List<String> violations(
            List<CallResult> calls,
            List<Upstream> upstreams,
            Map<String, Long> revokedAt,
            Map<String, String> workspaces) {
        ResultChecker checks = new ResultChecker(upstreams, revokedAt, workspaces);
        checks.checkAll(calls);
        return checks.violations;
    }

    private void checkAll(List<CallResult> calls) {
        Map<String, List<Run>> runs = runsByCall();
        Map<String, CallResult> sent = new HashMap<>();
        calls.forEach(call -> sent.put(call.id(), call));
        runs.forEach((id, ran) -> {
            if (!sent.containsKey(id)) {
                violations.add("run without a caller: call " + id);
            }
        });
        for (CallResult call : calls) {
            List<Run> ran = runs.getOrDefault(call.id(), List.of());
            checkExecutions(call, ran);
            checkResponse(call);
            checkApiKey(call, ran);
            checkLeavingUpstreams(call, ran);
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

    private void checkExecutions(CallResult call, List<Run> ran) {
        long begun =
                ran.stream().filter(run -> !run.request().resumesFromCopy()).count();
        if (call.kind().atMostOnce() && begun > 1) {
            violations.add("ran " + begun + " times: " + call);
        }
        if (call.kind().atMostOnce() && NOT_RUN_STATUSES.contains(call.status()) && begun > 0) {
            violations.add("reported as not run, but ran: " + call);
        }
    }

    private void checkResponse(CallResult call) {
        if (call.status() != STATUS_OK) {
            return;
        }
        if (!call.kind().streaming()) {
            if (call.complete() && !call.body().equals(Upstream.responseBody(call.id()))) {
                violations.add("response of another call: " + call);
            }
            return;
        }
        List<String> events = events(call);
        List<String> expected = StandInUpstream.fullStream();
        if (events.size() > expected.size() || !events.equals(expected.subList(0, events.size()))) {
            violations.add("events missing, repeated or out of order: " + call + ": " + firstLines(events));
        }
        if (call.complete() && events.size() < expected.size()) {
            violations.add(
                    "stream ended normally after " + events.size() + " of " + expected.size() + " events: " + call);
        }
    }

    private static List<String> firstLines(List<String> events) {
        return events.stream()
                .map(event -> event.lines().findFirst().orElse(""))
                .toList();
    }

    private static List<String> events(CallResult call) {
        List<String> events = new ArrayList<>();
        String body = call.body();
        int start = 0;
        for (int end = body.indexOf("\n\n"); end >= 0; end = body.indexOf("\n\n", start)) {
            events.add(body.substring(start, end));
            start = end + 2;
        }
        return events;
    }

    private void checkApiKey(CallResult call, List<Run> ran) {
        Long revoked = revokedAtNanos.get(call.key());
        boolean late = revoked != null && call.sentAtNanos() - revoked > MAX_REACTION_TIME.toNanos();
        if (late && call.entrySettled() && !ran.isEmpty()) {
            violations.add("ran with a revoked key: " + call);
        }
        for (Run run : ran) {
            if (run.request().hasApiKey() || !run.request().workspace().equals(workspacesOfKeys.get(call.key()))) {
                violations.add("reached an upstream with its API key, or for another workspace: " + call);
            }
        }
    }

    private void checkLeavingUpstreams(CallResult call, List<Run> ran) {
        for (Run run : ran) {
            long leaving = run.upstream().leavingAtNanos();
            boolean late = leaving != Long.MAX_VALUE && call.sentAtNanos() - leaving > MAX_REACTION_TIME.toNanos();
            if (late && call.entrySettled()) {
                violations.add("reached " + run.upstream().id() + ", which was leaving: " + call);
            }
        }
    }
}
