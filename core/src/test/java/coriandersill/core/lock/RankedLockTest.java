package coriandersill.core.lock;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

final class RankedLockTest {
    private final RankedLock routing = RankedLock.of(LockRank.ROUTING);
    private final RankedLock admission = RankedLock.of(LockRank.ADMISSION);

    @Test
    void locksAcquiredInRankOrderAreGranted() {
        assertThat(routing.with(() -> admission.with(() -> 7)), is(7));
    }

    @Test
    void acquiringALockAgainstTheRankOrderFails() {
        AssertionError error = assertThrows(AssertionError.class, () -> admission.run(() -> routing.run(() -> {})));
        assertThat(error.getMessage(), containsString("ROUTING taken while holding ADMISSION"));
    }

    @Test
    void twoLocksOfTheSameRankAreNeverHeldTogether() {
        RankedLock other = RankedLock.of(LockRank.ROUTING);
        assertThrows(AssertionError.class, () -> routing.run(() -> other.run(() -> {})));
    }

    @Test
    void theHolderMayAcquireItsLockAgain() {
        assertThat(routing.with(() -> routing.with(() -> 1)), is(1));
    }
}
