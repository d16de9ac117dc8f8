package coriandersill.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class EvidenceTableTest {
    private static final ServiceName SERVICE = ServiceName.of("scribe");
    private static final VersionName V1 = VersionName.of("v1");
    private static final VersionName V2 = VersionName.of("v2");

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final EvidenceTable first = EvidenceTable.of(InstanceId.of("entry-1"), 1, clock);
    private final EvidenceTable second = EvidenceTable.of(InstanceId.of("entry-2"), 1, clock);

    @Test
    void lostDuplicateAndReorderedSummariesAreNeverCountedTwice() {
        long seed = 11;
        Random random = new Random(seed);
        List<EvidenceSummary> sent = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            second.record(sample(i % 2 == 0 ? V1 : V2, i % 5 == 0));
            sent.addAll(second.summaries());
        }
        EvidenceSummary newest = sent.get(sent.size() - 1);
        Collections.shuffle(sent, random);
        sent.subList(0, 20).forEach(first::accept);
        sent.subList(10, 40).forEach(first::accept);
        first.accept(newest);
        first.accept(newest);
        Stratum stratum = closeWindowAndGetStratum();
        assertThat("seed " + seed, stratum.oldCell().calls(), is(25L));
        assertThat("seed " + seed, stratum.newCell().calls(), is(25L));
        assertThat(
                "seed " + seed, stratum.newCell().failures() + stratum.oldCell().failures(), is(10L));
    }

    @Test
    void aProcessRestartedUnderTheSameNameAddsToTheCountsOfItsPredecessor() {
        second.record(sample(V1, false));
        second.summaries().forEach(first::accept);
        EvidenceTable successor = EvidenceTable.of(InstanceId.of("entry-2"), 2, clock);
        successor.record(sample(V1, true));
        successor.summaries().forEach(first::accept);
        assertThat(closeWindowAndGetStratum().oldCell().calls(), is(2L));
    }

    @Test
    void aWindowIsClosedOnceAndOnlyAfterTheDelayForReportsOfPeers() {
        first.record(sample(V1, false));
        clock.advance(EvidenceTable.WINDOW.plus(EvidenceTable.CLOSE_DELAY).minusMillis(1));
        assertThat(first.closedWindowsAfter(-1, SERVICE, V1, V2, 0.1), is(empty()));
        clock.advance(Duration.ofMillis(1));
        assertThat(first.closedWindowsAfter(-1, SERVICE, V1, V2, 0.1), hasSize(1));
        assertThat(first.closedWindowsAfter(0, SERVICE, V1, V2, 0.1), is(empty()));
    }

    @Test
    void theTableStaysBoundedForAnyNumberOfRoutes() {
        for (int i = 0; i < EvidenceTable.MAX_CELLS + 7; i++) {
            first.record(new CallSample(
                    SERVICE,
                    V1,
                    RouteName.of("route-" + i),
                    AvailabilityZone.of("a"),
                    false,
                    1,
                    CallSample.NOT_MEASURED));
        }
        assertThat(first.droppedCount(), is(7L));
        clock.advance(EvidenceTable.WINDOW.multipliedBy(EvidenceTable.RETAINED_WINDOWS + 2L));
        first.record(sample(V1, false));
        clock.advance(EvidenceTable.WINDOW.multipliedBy(2));
        assertThat(first.closedWindowsAfter(-1, SERVICE, V1, V2, 0.1), hasSize(1));
    }

    private Stratum closeWindowAndGetStratum() {
        clock.advance(EvidenceTable.WINDOW.plus(EvidenceTable.CLOSE_DELAY));
        List<WindowEvidence> closed = first.closedWindowsAfter(-1, SERVICE, V1, V2, 0.1);
        assertThat(closed, hasSize(1));
        assertThat(closed.get(0).strata(), hasSize(1));
        return closed.get(0).strata().get(0);
    }

    private static CallSample sample(VersionName version, boolean failed) {
        return new CallSample(
                SERVICE, version, RouteName.of("chat"), AvailabilityZone.of("a"), failed, 200_000_000, 30_000_000);
    }
}
