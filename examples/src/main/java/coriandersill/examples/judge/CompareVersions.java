package coriandersill.examples.judge;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.rollout.CallSample;
import coriandersill.rollout.EvidenceTable;
import coriandersill.rollout.Judge;
import coriandersill.rollout.JudgeSettings;
import coriandersill.rollout.Judgement;
import coriandersill.rollout.RegressionCriteria;
import coriandersill.rollout.SequentialJudge;
import coriandersill.rollout.TrafficSplit;
import coriandersill.rollout.WindowEvidence;
import java.time.Instant;
import java.util.Random;
import java.util.Set;

/**
 * Splits calls between two versions of a service and asks the judge after every window whether the new one is bad.
 *
 * <p>The calls are simulated; an application would instead record each call that it made. The optional argument is the
 * failure rate of the new version, from 0 to 1 (default 0.06); that of the old version is 0.02.
 */
public final class CompareVersions {
    private static final ServiceName SERVICE = ServiceName.of("scribe");
    private static final RouteName ROUTE = RouteName.of("chat");
    private static final AvailabilityZone ZONE = AvailabilityZone.of("zone-a");
    private static final VersionName OLD = VersionName.of("v1");
    private static final VersionName NEW = VersionName.of("v2");

    /** The fraction of calls that go to the new version. */
    private static final double NEW_VERSION_SHARE = 0.2;

    private static final double DEFAULT_NEW_VERSION_FAILURE_RATE = 0.06;
    private static final double OLD_VERSION_FAILURE_RATE = 0.02;
    private static final int CALLS_PER_WINDOW = 200;
    private static final int MAX_WINDOWS = 200;

    /**
     * The ratios to the old version at which the new one counts as bad: of the error rate, the time to first token and
     * the time between tokens.
     */
    private static final RegressionCriteria CRITERIA = new RegressionCriteria(3, 2, 2);

    /** The probability of judging a version bad that is as good as the old one. */
    private static final double FALSE_ALARM_RATE = 0.002;

    private static final double MEDIAN_FIRST_TOKEN_NANOS = 300e6;

    /** The time to first token is lognormally distributed. */
    private static final double FIRST_TOKEN_LOG_STANDARD_DEVIATION = 0.5;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final EvidenceTable table = EvidenceTable.of(InstanceId.of("example"), 1, clock);
    private final TrafficSplit split = TrafficSplit.of(OLD, NEW, NEW_VERSION_SHARE);
    private final Random random = new Random(1);
    private final double newFailureRate;

    private CompareVersions(double newFailureRate) {
        this.newFailureRate = newFailureRate;
    }

    /** Prints the judgement; the class comment describes the argument. */
    public static void main(String[] args) {
        double rate = args.length > 0 ? Double.parseDouble(args[0]) : DEFAULT_NEW_VERSION_FAILURE_RATE;
        System.out.println(judge(rate));
    }

    /** Returns the judgement once the new version is judged bad, or else after all windows. */
    static Judgement judge(double newFailureRate) {
        return new CompareVersions(newFailureRate).run();
    }

    private Judgement run() {
        JudgeSettings settings = new JudgeSettings(CRITERIA, Set.of(ROUTE), FALSE_ALARM_RATE, MAX_WINDOWS);
        Judge judge = SequentialJudge.factory().create(settings);
        Judgement judgement = Judgement.none();
        long lastJudgedWindow = -1;
        for (int window = 0; window < MAX_WINDOWS && judgement.finding() != Judgement.Finding.BAD; window++) {
            simulateWindow();
            clock.advance(EvidenceTable.WINDOW);
            for (WindowEvidence evidence :
                    table.closedWindowsAfter(lastJudgedWindow, SERVICE, OLD, NEW, NEW_VERSION_SHARE)) {
                judgement = judge.observe(evidence);
                lastJudgedWindow = evidence.window();
            }
        }
        return judgement;
    }

    private void simulateWindow() {
        for (int call = 0; call < CALLS_PER_WINDOW; call++) {
            VersionName version = split.versionFor(TrafficSplit.hashOf("prefix-" + random.nextInt()));
            double rate = version.equals(NEW) ? newFailureRate : OLD_VERSION_FAILURE_RATE;
            boolean failed = random.nextDouble() < rate;
            long firstTokenNanos = (long)
                    (MEDIAN_FIRST_TOKEN_NANOS * Math.exp(FIRST_TOKEN_LOG_STANDARD_DEVIATION * random.nextGaussian()));
            table.record(
                    new CallSample(SERVICE, version, ROUTE, ZONE, failed, firstTokenNanos, CallSample.NOT_MEASURED));
        }
    }
}
