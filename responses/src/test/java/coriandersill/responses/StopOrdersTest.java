package coriandersill.responses;

import static coriandersill.responses.StopOrder.State.ANSWERED;
import static coriandersill.responses.StopOrder.State.NOT_CARRIED_OUT;
import static coriandersill.responses.StopOrder.State.PENDING;
import static coriandersill.responses.StopOrder.State.UNANSWERED;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import coriandersill.core.InstanceId;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against orders that are forgotten, or held against a run that they cannot have stopped. */
final class StopOrdersTest {
    private static final InstanceId A = InstanceId.of("a");
    private static final InstanceId B = InstanceId.of("b");
    private static final GenerationRun FIRST = new GenerationRun(1, A);
    private static final GenerationRun AT_ANOTHER_ENGINE = new GenerationRun(2, B);
    private static final GenerationRun BACK_AT_THE_FIRST = new GenerationRun(3, A);

    /** The state of an order to stop the first run; what it says about that run, and about the later ones. */
    static List<Arguments> statesOfAnOrderToTheFirstRun() {
        return List.of(
                Arguments.of(PENDING, StopEvidence.UNDECIDED, StopEvidence.NONE, StopEvidence.UNDECIDED),
                Arguments.of(NOT_CARRIED_OUT, StopEvidence.NONE, StopEvidence.NONE, StopEvidence.NONE),
                Arguments.of(ANSWERED, StopEvidence.POSSIBLE, StopEvidence.NONE, StopEvidence.NONE),
                Arguments.of(UNANSWERED, StopEvidence.POSSIBLE, StopEvidence.NONE, StopEvidence.POSSIBLE));
    }

    /** An order without an answer may be carried out after the generation has returned to the engine. */
    @ParameterizedTest
    @MethodSource("statesOfAnOrderToTheFirstRun")
    void anOrderIsHeldAgainstTheRunsThatItMayHaveStopped(
            StopOrder.State state, StopEvidence own, StopEvidence atAnotherEngine, StopEvidence backAtTheFirst) {
        StopOrders orders = StopOrders.NONE.ordered(FIRST).settled(1, state);

        assertThat(orders.evidenceFor(FIRST), is(own));
        assertThat(orders.evidenceFor(AT_ANOTHER_ENGINE), is(atAnotherEngine));
        assertThat(orders.evidenceFor(BACK_AT_THE_FIRST), is(backAtTheFirst));
    }

    @Test
    void anOrderSaysNothingAboutAnEarlierRunAtItsEngine() {
        StopOrders orders = StopOrders.NONE.ordered(BACK_AT_THE_FIRST);

        assertThat(orders.evidenceFor(FIRST), is(StopEvidence.NONE));
    }

    @Test
    void anOrderThatWasRefusedDoesNotClearAnEarlierOneThatWasLost() {
        StopOrders orders = StopOrders.NONE
                .ordered(FIRST)
                .settled(1, UNANSWERED)
                .ordered(FIRST)
                .settled(2, NOT_CARRIED_OUT);

        assertThat(orders.evidenceFor(FIRST), is(StopEvidence.POSSIBLE));
    }

    @Test
    void anOrderThatMayHaveBeenCarriedOutCountsMoreThanOneThatIsPending() {
        StopOrders orders =
                StopOrders.NONE.ordered(FIRST).settled(1, UNANSWERED).ordered(FIRST);

        assertThat(orders.evidenceFor(FIRST), is(StopEvidence.POSSIBLE));
    }

    @Test
    void withoutAnOrderThereIsNoEvidence() {
        assertThat(StopOrders.NONE.evidenceFor(FIRST), is(StopEvidence.NONE));
        assertThat(StopOrders.NONE.isEmpty(), is(true));
    }

    @Test
    void anOrderThatWasNotGivenCannotBeSettled() {
        assertThrows(IndexOutOfBoundsException.class, () -> StopOrders.NONE.settled(1, ANSWERED));
    }

    @Test
    void runsAreNumberedFromOne() {
        assertThrows(IllegalArgumentException.class, () -> new GenerationRun(0, A));
    }
}
