package coriandersill.rollout;

import coriandersill.core.RouteName;
import java.util.HashMap;
import java.util.Map;

/**
 * Judges a route once, by a z-test of the error rates, when the new version has served a fixed number of calls there.
 *
 * <p>It suits a service with one short and steady test; it sees neither a latency nor what turns bad later.
 */
public final class FixedSampleJudge implements Judge {
    private static final double ALARM_DEVIATIONS = 3.3;

    private final long sampleCalls;
    private final Map<RouteName, EvidenceCell> from = new HashMap<>();
    private final Map<RouteName, EvidenceCell> to = new HashMap<>();
    private final Map<RouteName, Double> decided = new HashMap<>();
    private long calls;

    private FixedSampleJudge(long sampleCalls) {
        this.sampleCalls = sampleCalls;
    }

    /** Returns the policy that decides on a route after {@code sampleCalls} calls of the new version; 1 or more. */
    public static JudgeFactory factory(long sampleCalls) {
        if (sampleCalls < 1) {
            throw new IllegalArgumentException("sampleCalls: expected 1 or more, found " + sampleCalls);
        }
        return settings -> new FixedSampleJudge(sampleCalls);
    }

    @Override
    public Judgement observe(WindowEvidence window) {
        for (Stratum stratum : window.strata()) {
            calls += stratum.to().calls();
            if (!decided.containsKey(stratum.route())) {
                from.merge(stratum.route(), stratum.from(), EvidenceCell::plus);
                to.merge(stratum.route(), stratum.to(), EvidenceCell::plus);
                decide(stratum.route());
            }
        }
        double worst =
                decided.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        boolean enough = !to.isEmpty() && decided.size() == to.size();
        Judgement.Finding finding = enough ? Judgement.Finding.PROVEN : Judgement.Finding.THIN;
        if (worst >= ALARM_DEVIATIONS) {
            finding = Judgement.Finding.BAD;
        }
        String reason = "error rates differ by " + worst + " deviations";
        return new Judgement(finding, enough ? 1 : 0, 1, Math.max(0, worst / ALARM_DEVIATIONS), calls, reason);
    }

    private void decide(RouteName route) {
        EvidenceCell old = from.get(route);
        EvidenceCell candidate = to.get(route);
        if (candidate.calls() < sampleCalls || old.calls() == 0) {
            return;
        }
        double pooled = (double) (old.failures() + candidate.failures()) / (old.calls() + candidate.calls());
        double variance = pooled * (1 - pooled) * (1.0 / old.calls() + 1.0 / candidate.calls());
        double difference = (double) candidate.failures() / candidate.calls() - (double) old.failures() / old.calls();
        decided.put(route, variance == 0 ? 0 : difference / Math.sqrt(variance));
    }
}
