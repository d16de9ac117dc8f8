package coriandersill.rollout;

import coriandersill.core.RouteName;
import java.util.HashMap;
import java.util.Map;

/**
 * Judges each route once, by a z-test of the error rates, when the new version has served a fixed number of calls on
 * it.
 *
 * <p>It suits a single short test under steady traffic. It does not compare latencies and does not detect a version
 * that becomes bad later.
 */
public final class FixedSampleJudge implements Judge {
    private static final double ALARM_Z_SCORE = 3.3;

    private final long sampleCalls;
    private final Map<RouteName, EvidenceCell> oldCells = new HashMap<>();
    private final Map<RouteName, EvidenceCell> newCells = new HashMap<>();
    private final Map<RouteName, Double> zScores = new HashMap<>();
    private long newCalls;

    private FixedSampleJudge(long sampleCalls) {
        this.sampleCalls = sampleCalls;
    }

    /** Returns a factory of judges that test a route after {@code sampleCalls} calls of the new version, 1 or more. */
    public static JudgeFactory factory(long sampleCalls) {
        if (sampleCalls < 1) {
            throw new IllegalArgumentException("sampleCalls: expected 1 or more, found " + sampleCalls);
        }
        return settings -> new FixedSampleJudge(sampleCalls);
    }

    @Override
    public Judgement observe(WindowEvidence window) {
        for (Stratum stratum : window.strata()) {
            newCalls += stratum.newCell().calls();
            if (!zScores.containsKey(stratum.route())) {
                oldCells.merge(stratum.route(), stratum.oldCell(), EvidenceCell::plus);
                newCells.merge(stratum.route(), stratum.newCell(), EvidenceCell::plus);
                computeZScore(stratum.route());
            }
        }
        double maxZScore =
                zScores.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        boolean enough = !newCells.isEmpty() && zScores.size() == newCells.size();
        Judgement.Finding finding = enough ? Judgement.Finding.PROVEN : Judgement.Finding.THIN;
        if (maxZScore >= ALARM_Z_SCORE) {
            finding = Judgement.Finding.BAD;
        }
        String reason = "error rates differ by " + maxZScore + " standard deviations";
        return new Judgement(finding, enough ? 1 : 0, 1, Math.max(0, maxZScore / ALARM_Z_SCORE), newCalls, reason);
    }

    private void computeZScore(RouteName route) {
        EvidenceCell oldCell = oldCells.get(route);
        EvidenceCell newCell = newCells.get(route);
        if (newCell.calls() < sampleCalls || oldCell.calls() == 0) {
            return;
        }
        double pooled = (double) (oldCell.failures() + newCell.failures()) / (oldCell.calls() + newCell.calls());
        double variance = pooled * (1 - pooled) * (1.0 / oldCell.calls() + 1.0 / newCell.calls());
        double difference =
                (double) newCell.failures() / newCell.calls() - (double) oldCell.failures() / oldCell.calls();
        zScores.put(route, variance == 0 ? 0 : difference / Math.sqrt(variance));
    }
}
