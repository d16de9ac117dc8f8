package coriandersill.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import coriandersill.core.InstanceId;
import coriandersill.core.WorkspaceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against generations that crash one engine after another, and against refusing sound generations: because they
 * share parts with the others, because engines end for another reason, or because a caller wants them refused.
 */
final class PromptQuarantineTest {
    private static final InstanceId SELF = InstanceId.of("entry-a");
    private static final InstanceId PEER = InstanceId.of("entry-b");
    private static final Duration BETWEEN_CRASHES = Duration.ofSeconds(2);

    private final List<CrashReport> reports = new ArrayList<>();
    private final List<QuarantineVerdict> verdicts = new ArrayList<>();
    private final List<PromptPart> acquittals = new ArrayList<>();
    private final PromptQuarantine quarantine = PromptQuarantine.create(this::now, SELF, new Recorder(), new Silent());
    private long nowNanos = 1;
    private int engineCount;

    @Test
    void aPartIsQuarantinedAfterThreeCrashesOverAllEntries() {
        crash(SELF, call("house", "first", "deadly"));
        crash(PEER, call("house", "other", "deadly"));
        assertThat(isRefused(call("house", "first", "deadly")), is(false));

        crash(InstanceId.of("entry-c"), call("mill", "third", "deadly"));

        assertThat(isRefused(call("farm", "fourth", "deadly")), is(true));
        assertThat(isRefused(call("house", "first", "sound")), is(false));
    }

    @Test
    void theSameCrashReportedTwiceOrByTwoEntriesCountsOnce() {
        CrashReport report = new CrashReport(nextEngine(), PEER, List.of(call("house", "deadly")));
        for (int i = 0; i < 5; i++) {
            quarantine.recordCrash(report);
            quarantine.recordCrash(
                    new CrashReport(report.engine(), InstanceId.of("entry-" + i), List.of(call("house", "deadly"))));
            advance(BETWEEN_CRASHES);
        }

        assertThat(isRefused(call("house", "deadly")), is(false));
    }

    @Test
    void aPartOfGenerationsThatSucceedIsNeverQuarantined() {
        for (int i = 0; i < 10; i++) {
            crash(SELF, call("house", "first", "deadly"));
            quarantine.recordSuccess(call("house", "first", "sound"));
        }

        assertThat(isRefused(call("house", "first", "sound")), is(false));
        assertThat(isRefused(call("house", "first", "deadly")), is(true));
    }

    @Test
    void whileCrashesHaveMoreInCommonOnlyGenerationsWithAllOfItAreRefused() {
        crashThreeTimes(call("house", "first", "deadly"));

        assertThat(isRefused(call("house", "first", "deadly", "more")), is(true));
        assertThat(isRefused(call("house", "first")), is(false));
        assertThat(isRefused(call("house", "deadly")), is(false));

        crash(SELF, call("house", "second", "deadly"));

        assertThat(isRefused(call("house", "deadly")), is(true));
        assertThat(isRefused(call("mill", "deadly")), is(false));
    }

    @Test
    void aCallerCannotGetAPartOfAnotherWorkspaceRefused() {
        crashThreeTimes(call("attacker", "deadly", "part-of-victim"));

        assertThat(isRefused(call("victim", "part-of-victim")), is(false));
        assertThat(isRefused(call("attacker", "deadly", "part-of-victim")), is(true));
    }

    @Test
    void aBystanderAtTheSameEnginesIsToldApartFromTheDeadlyPart() {
        for (int i = 0; i < 3; i++) {
            crash(SELF, call("house", "first", "deadly"), call("mill", "bystander-" + i));
        }

        assertThat(isRefused(call("mill", "bystander-0")), is(false));
        assertThat(isRefused(call("house", "first", "deadly")), is(true));
    }

    @Test
    void enginesThatEndAtTheSameMomentCountAsOneCrash() {
        for (int i = 0; i < 8; i++) {
            quarantine.recordCrash(new CrashReport(nextEngine(), PEER, List.of(call("house", "first"))));
            advance(Duration.ofMillis(20));
        }

        assertThat(isRefused(call("house", "first")), is(false));
    }

    @Test
    void aDayOfCrashesWithoutADeadlyPartLeavesHardlyAnyPartRefused() {
        RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
        int refused = 0;
        int calls = 0;
        for (int second = 0; second < 3_600; second++) {
            advance(Duration.ofSeconds(1));
            for (int i = 0; i < 20; i++) {
                CallTraits traits = call("house-" + random.nextInt(10), "session-" + random.nextInt(500));
                calls++;
                if (isRefused(traits)) {
                    refused++;
                } else if (random.nextInt(20) == 0) {
                    quarantine.recordOwnCrash(nextEngine(), List.of(traits));
                } else {
                    quarantine.recordSuccess(traits);
                }
            }
        }

        assertThat(refused, is(lessThanOrEqualTo(calls / 1_000)));
    }

    @Test
    void theVerdictIsPublishedByTheEntryThatReportedTheLastCrash() {
        crash(PEER, call("house", "deadly"));
        crash(PEER, call("house", "deadly"));
        assertThat(verdicts, is(empty()));

        crash(SELF, call("house", "deadly"));

        assertThat(verdicts.stream().map(QuarantineVerdict::part).toList(), contains(PromptPart.of("deadly")));
        assertThat(reports.size(), is(1));
    }

    @Test
    void anEntryThatStartsLaterTakesOverTheVerdict() {
        crashThreeTimes(call("house", "first", "deadly"));
        PromptQuarantine newcomer =
                PromptQuarantine.create(this::now, InstanceId.of("new"), QuarantineExchange.none(), new Silent());

        verdicts.forEach(newcomer::adopt);

        assertThat(
                newcomer.check("c", call("house", "first", "deadly")),
                is(instanceOf(QuarantineDecision.Refused.class)));
        assertThat(newcomer.check("c", call("house", "first")), is(instanceOf(QuarantineDecision.Admitted.class)));
    }

    @Test
    void afterTheHoldTheReporterTestsThePartWithOneGenerationAtATime() {
        PromptQuarantine peer = PromptQuarantine.create(this::now, PEER, QuarantineExchange.none(), new Silent());
        crashThreeTimes(call("house", "deadly"));
        verdicts.forEach(peer::adopt);
        advance(PromptQuarantine.INITIAL_HOLD);

        assertThat(quarantine.check("probe", call("house", "deadly")), is(instanceOf(QuarantineDecision.Probe.class)));
        assertThat(quarantine.check("probe", call("house", "deadly")), is(instanceOf(QuarantineDecision.Probe.class)));
        assertThat(
                quarantine.check("other", call("house", "deadly")), is(instanceOf(QuarantineDecision.Refused.class)));
        assertThat(peer.check("third", call("house", "deadly")), is(instanceOf(QuarantineDecision.Refused.class)));
    }

    @Test
    void ifTheReporterIsGoneAnotherEntryTestsThePartLater() {
        PromptQuarantine peer = PromptQuarantine.create(this::now, PEER, QuarantineExchange.none(), new Silent());
        crashThreeTimes(call("house", "deadly"));
        verdicts.forEach(peer::adopt);

        advance(PromptQuarantine.INITIAL_HOLD.multipliedBy(4));

        assertThat(peer.check("probe", call("house", "deadly")), is(instanceOf(QuarantineDecision.Probe.class)));
    }

    @Test
    void aProbeThatSucceedsReleasesThePartEverywhere() {
        crashThreeTimes(call("house", "deadly"));
        advance(PromptQuarantine.INITIAL_HOLD);
        quarantine.check("probe", call("house", "deadly"));

        quarantine.recordSuccess(call("house", "deadly"));

        assertThat(isRefused(call("house", "deadly")), is(false));
        assertThat(acquittals, contains(PromptPart.of("deadly")));
    }

    @Test
    void aProbeThatCrashesItsEngineDoublesTheHold() {
        crashThreeTimes(call("house", "deadly"));
        advance(PromptQuarantine.INITIAL_HOLD);
        quarantine.check("probe", call("house", "deadly"));
        crash(SELF, call("house", "deadly"));

        advance(PromptQuarantine.INITIAL_HOLD);

        assertThat(quarantine.check("next", call("house", "deadly")), is(instanceOf(QuarantineDecision.Refused.class)));
    }

    @Test
    void suspicionOfAPartThatNobodyUsesEnds() {
        crash(SELF, call("house", "rare"));
        advance(PromptQuarantine.SUSPICION_AGE);
        advance(BETWEEN_CRASHES);

        isRefused(call("house", "rare"));

        assertThat(quarantine.suspectCount(), is(0));
    }

    @Test
    void aMillionPartsOfStrangersNeitherFillTheTableNorPushOutTheDeadlyOne() {
        crashThreeTimes(call("house", "deadly"));
        for (int i = 0; i < 625; i++) {
            int number = i;
            CallTraits[] strangers = IntStream.range(0, CrashReport.MAX_SUSPECTS)
                    .mapToObj(k -> call("stranger", names("s" + number + "-" + k + "-", 10)))
                    .toArray(CallTraits[]::new);
            crash(PEER, strangers);
        }

        assertThat(quarantine.suspectCount(), is(lessThanOrEqualTo(PromptQuarantine.MAX_PARTS)));
        assertThat(
                quarantine.verdicts().stream().map(QuarantineVerdict::part).toList(), hasItem(PromptPart.of("deadly")));
    }

    private void crashThreeTimes(CallTraits traits) {
        for (int i = 0; i < 3; i++) {
            crash(SELF, traits);
        }
    }

    private void crash(InstanceId reporter, CallTraits... suspects) {
        if (reporter.equals(SELF)) {
            quarantine.recordOwnCrash(nextEngine(), List.of(suspects));
        } else {
            quarantine.recordCrash(new CrashReport(nextEngine(), reporter, List.of(suspects)));
        }
        advance(BETWEEN_CRASHES);
    }

    private EngineIncarnation nextEngine() {
        return new EngineIncarnation(InstanceId.of("engine-" + engineCount++), 0);
    }

    private boolean isRefused(CallTraits traits) {
        return quarantine.check("call", traits) instanceof QuarantineDecision.Refused;
    }

    private long now() {
        return nowNanos;
    }

    private void advance(Duration time) {
        nowNanos += time.toNanos();
    }

    private static String[] names(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(i -> prefix + i).toArray(String[]::new);
    }

    private static CallTraits call(String workspace, String... parts) {
        return CallTraits.of(
                Optional.of(WorkspaceName.of(workspace)),
                Arrays.stream(parts).map(PromptPart::of).toList());
    }

    private final class Recorder implements QuarantineExchange {
        @Override
        public void publish(CrashReport report) {
            reports.add(report);
        }

        @Override
        public void publish(QuarantineVerdict verdict) {
            verdicts.add(verdict);
        }

        @Override
        public void publishAcquittal(PromptPart part) {
            acquittals.add(part);
        }
    }

    private static final class Silent implements QuarantineObserver {
        @Override
        public void quarantined(QuarantineVerdict verdict) {}

        @Override
        public void released(PromptPart part, Reason reason) {}
    }
}
