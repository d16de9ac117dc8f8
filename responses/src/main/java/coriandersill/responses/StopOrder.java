package coriandersill.responses;

import java.util.Objects;

/**
 * An order to an engine to stop a run, so that the rest of its KV cache is copied.
 *
 * @param number the position among the orders of the call, from 1
 * @param run the run that was to stop
 * @param state what is known of the order
 */
public record StopOrder(int number, GenerationRun run, State state) {

    /** What is known of an order. */
    public enum State {
        /** No answer has been received yet. */
        PENDING,
        /** The order was not sent, or the engine answered that it did not carry it out. */
        NOT_CARRIED_OUT,
        /** The engine answered in a way that does not exclude that it has stopped the run. */
        ANSWERED,
        /** No answer will be received; the engine may carry the order out at any time. */
        UNANSWERED
    }

    /**
     * Checks the arguments.
     *
     * @throws NullPointerException if the run or the state is null
     */
    public StopOrder {
        Objects.requireNonNull(run, "run");
        Objects.requireNonNull(state, "state");
    }

    /** Returns the order with another state. */
    StopOrder with(State newState) {
        return new StopOrder(number, run, newState);
    }

    /**
     * Returns whether the order may have stopped {@code other}: its own run, unless it was not carried out; or a later
     * run of the call at the same engine, if it may still be carried out, since an order names the call and not the
     * run.
     */
    public boolean mayHaveStopped(GenerationRun other) {
        if (run.equals(other)) {
            return state != State.NOT_CARRIED_OUT;
        }
        boolean outstanding = state == State.PENDING || state == State.UNANSWERED;
        return outstanding && run.engine().equals(other.engine()) && run.number() < other.number();
    }
}
