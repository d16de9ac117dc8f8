package coriandersill.soak;

import coriandersill.platform.StandInUpstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks that calls which sound upstreams alone receive get a complete answer, whatever another upstream sends. */
final class AnswerChecker {
    private static final int STATUS_OK = 200;

    /** The fraction of these calls that must succeed. */
    private static final double MIN_SUCCESS_FRACTION = 0.6;

    private final Map<String, List<Upstream>> reached = new HashMap<>();
    private final Set<String> revokedKeys;
    private final DisturbanceTracker disturbances;

    private AnswerChecker(List<Upstream> upstreams, Set<String> revokedKeys, DisturbanceTracker disturbances) {
        this.revokedKeys = revokedKeys;
        this.disturbances = disturbances;
        for (Upstream upstream : upstreams) {
            for (StandInUpstream.ReceivedRequest request : upstream.server().received()) {
                reached.computeIfAbsent(request.attemptId(), id -> new ArrayList<>())
                        .add(upstream);
            }
        }
    }

    /** Returns a description of each violation found among the calls of settled entries. */
    static List<String> violations(
            List<CallResult> calls,
            List<Upstream> upstreams,
            Set<String> revokedKeys,
            DisturbanceTracker disturbances) {
        AnswerChecker checker = new AnswerChecker(upstreams, new HashSet<>(revokedKeys), disturbances);
        List<CallResult> sound = calls.stream()
                .filter(call -> checker.isUndisturbed(call) && checker.reachedSoundUpstreamsOnly(call))
                .toList();
        List<String> violations = new ArrayList<>();
        sound.stream()
                .filter(call -> !call.complete())
                .map(call -> "not answered, though only sound upstreams received it: " + call)
                .forEach(violations::add);
        long succeeded =
                sound.stream().filter(call -> call.status() == STATUS_OK).count();
        if (succeeded < sound.size() * MIN_SUCCESS_FRACTION) {
            violations.add("of " + sound.size() + " calls that only sound upstreams received " + succeeded
                    + " succeeded; expected at least " + MIN_SUCCESS_FRACTION + " of them");
        }
        return violations;
    }

    private boolean isUndisturbed(CallResult call) {
        return call.entrySettled()
                && !disturbances.isInterrupted(call.entry(), call.sentAtNanos(), call.endedAtNanos());
    }

    private boolean reachedSoundUpstreamsOnly(CallResult call) {
        return !revokedKeys.contains(call.key())
                && reached.getOrDefault(call.id(), List.of()).stream()
                        .noneMatch(upstream -> upstream.isEndless()
                                || upstream.breaksOff(call.id())
                                || upstream.isListedAsLeaving()
                                || upstream.hasRefused(call.id()));
    }
}
