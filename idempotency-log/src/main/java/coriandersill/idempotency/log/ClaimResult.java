package coriandersill.idempotency.log;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.idempotency.HeldClaim;
import coriandersill.idempotency.KeyState;
import coriandersill.idempotency.Outcome;

/** The answer to a {@link ClaimRequest}. */
public sealed interface ClaimResult {

    /**
     * The call may be dispatched while the claim is valid. The holder settles the claim with
     * {@link ClaimService#complete} or {@link ClaimService#release}, or leaves it unsettled if it cannot know whether
     * the call ran.
     *
     * @param claim the claim that this process holds
     */
    record Won(HeldClaim claim) implements ClaimResult {}

    /**
     * An earlier call with the key has completed.
     *
     * @param outcome the outcome of that call
     */
    record Replayed(Outcome outcome) implements ClaimResult {}

    /** An earlier call with the key is still running. */
    record InProgress() implements ClaimResult {}

    /** The lifetime of an earlier call with the key has passed without an outcome. */
    record Unknown() implements ClaimResult {}

    /**
     * This call was not run and will not be run.
     *
     * @param failure the reason; a {@code ran} value other than {@code NO} refers to an earlier call with the key
     */
    record Refused(CallFailure failure) implements ClaimResult {}

    /**
     * Returns the result for a call that finds its key in {@code state}; if the key is unclaimed, the call is refused
     * with {@code unclaimedFailure}.
     */
    static ClaimResult of(KeyState state, CallFailure unclaimedFailure) {
        if (state instanceof KeyState.Done done) {
            return new Replayed(done.outcome());
        }
        if (state instanceof KeyState.InProgress) {
            return new InProgress();
        }
        if (state instanceof KeyState.Unknown) {
            return new Unknown();
        }
        return new Refused(state instanceof KeyState.Refused refused ? refused.failure() : unclaimedFailure);
    }

    /** Returns a refusal because the claim was not confirmed by the log in time; the call has certainly not run. */
    static ClaimResult logUnavailable(String reason) {
        return new Refused(CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "the call was not run: " + reason));
    }
}
