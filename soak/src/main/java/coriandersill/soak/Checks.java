package coriandersill.soak;

import coriandersill.platform.StandInUpstream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Holds the books of callers and upstreams against the system's promises. */
final class Checks {
    /** How long after a key was taken away, or an upstream was listed as leaving, calm entries must act on it. */
    private static final Duration BOUND = Duration.ofMillis(2_300);

    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);
    private static final int OK = 200;

    private final List<Upstream> upstreams;
    private final Map<String, Long> revokedAt;
    private final Map<String, String> workspaces;
    private final List<String> broken = new ArrayList<>();

    private Checks(List<Upstream> upstreams, Map<String, Long> revokedAt, Map<String, String> workspaces) {
        this.upstreams = upstreams;
        this.revokedAt = revokedAt;
        this.workspaces = workspaces;
    }

    /** A request that an upstream ran. */
    private record Run(Upstream upstream, StandInUpstream.ReceivedRequest request) {}

    /** Returns the promises that are broken, each with what was seen. */
    static List<String> broken(
            List<Call> calls, List<Upstream> upstreams, Map<String, Long> revokedAt, Map<String, String> workspaces) {
        Checks checks = new Checks(upstreams, revokedAt, workspaces);
        checks.all(calls);
        return checks.broken;
    }

    private void all(List<Call> calls) {
        Map<String, List<Run>> runs = runs();
        Map<String, Call> sent = new HashMap<>();
        calls.forEach(call -> sent.put(call.id(), call));
        runs.forEach((id, ran) -> {
            if (!sent.containsKey(id)) {
                broken.add("run without a caller: " + id);
            }
        });
        for (Call call : calls) {
            List<Run> ran = runs.getOrDefault(call.id(), List.of());
            executions(call, ran);
            answer(call);
            access(call, ran);
            departures(call, ran);
        }
    }

    private Map<String, List<Run>> runs() {
        Map<String, List<Run>> runs = new HashMap<>();
        for (Upstream upstream : upstreams) {
            for (StandInUpstream.ReceivedRequest request : upstream.worker().received()) {
                if (!upstream.refused(request.attemptId())) {
                    runs.computeIfAbsent(request.attemptId(), id -> new ArrayList<>())
                            .add(new Run(upstream, request));
                }
            }
        }
        return runs;
    }

    private void executions(Call call, List<Run> ran) {
        long begun =
                ran.stream().filter(run -> !run.request().resumesFromCopy()).count();
        if (call.kind().once() && begun > 1) {
            broken.add("ran " + begun + " times: " + call);
        }
        if (call.kind().once() && NOT_RUN.contains(call.status()) && begun > 0) {
            broken.add("said not to have run, and ran: " + call);
        }
    }

    private void answer(Call call) {
        if (call.status() != OK) {
            return;
        }
        if (!call.kind().stream()) {
            if (call.whole() && !call.body().equals(Upstream.text(call.id()))) {
                broken.add("answer of another call: " + call);
            }
            return;
        }
        List<String> events = events(call);
        List<String> whole = StandInUpstream.fullStream();
        if (events.size() > whole.size() || !events.equals(whole.subList(0, events.size()))) {
            broken.add("events missing, repeated or out of order: " + call + ": " + firstLines(events));
        }
        if (call.whole() && events.size() < whole.size()) {
            broken.add("ended as whole after " + events.size() + " events: " + call);
        }
    }

    private static List<String> firstLines(List<String> events) {
        return events.stream()
                .map(event -> event.lines().findFirst().orElse(""))
                .toList();
    }

    private static List<String> events(Call call) {
        List<String> events = new ArrayList<>();
        String body = call.body();
        int start = 0;
        for (int end = body.indexOf("\n\n"); end >= 0; end = body.indexOf("\n\n", start)) {
            events.add(body.substring(start, end));
            start = end + 2;
        }
        return events;
    }

    private void access(Call call, List<Run> ran) {
        Long revoked = revokedAt.get(call.key());
        boolean late = revoked != null && call.sentAt() - revoked > BOUND.toNanos();
        if (late && call.calm() && !ran.isEmpty()) {
            broken.add("ran with a key that was taken away: " + call);
        }
        for (Run run : ran) {
            if (run.request().hasApiKey() || !run.request().workspace().equals(workspaces.get(call.key()))) {
                broken.add("reached an upstream with its key, or for another workspace: " + call);
            }
        }
    }

    private void departures(Call call, List<Run> ran) {
        for (Run run : ran) {
            long leaving = run.upstream().leavingAt();
            boolean late = leaving != Long.MAX_VALUE && call.sentAt() - leaving > BOUND.toNanos();
            if (late && call.calm()) {
                broken.add("reached " + run.upstream().id() + ", which had left: " + call);
            }
        }
    }
}
