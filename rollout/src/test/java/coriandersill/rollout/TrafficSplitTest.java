package coriandersill.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import coriandersill.core.VersionName;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class TrafficSplitTest {
    private static final VersionName V1 = VersionName.of("v1");
    private static final VersionName V2 = VersionName.of("v2");
    private static final int KEYS = 20_000;

    @Test
    void raisingTheShareMovesKeysOnlyFromTheOldToTheNewVersion() {
        TrafficSplit low = TrafficSplit.of(V1, V2, 0.1);
        TrafficSplit high = TrafficSplit.of(V1, V2, 0.4);
        long movedBack = IntStream.range(0, KEYS)
                .mapToLong(key -> TrafficSplit.hashOf("prefix-" + key))
                .filter(hash ->
                        low.versionFor(hash).equals(V2) && high.versionFor(hash).equals(V1))
                .count();
        assertThat(movedBack, is(0L));
    }

    @Test
    void theNewVersionReceivesItsShareOfTheKeys() {
        for (double share : new double[] {0, 0.01, 0.3, 1}) {
            TrafficSplit split = TrafficSplit.of(V1, V2, share);
            double received = IntStream.range(0, KEYS)
                    .filter(key -> split.versionFor(TrafficSplit.hashOf("prefix-" + key))
                            .equals(V2))
                    .count();
            assertThat("share " + share, received / KEYS, closeTo(share, 0.01));
        }
    }

    @Test
    void hashesAndPositionsAreTheSameInEveryProcess() {
        assertThat(TrafficSplit.hashOf("workspace-7/prefix-41"), is(5939058682214724601L));
        assertThat(TrafficSplit.unitPosition(5939058682214724601L), closeTo(0.4220967250763844, 1e-15));
    }
}
