package coriandersill.idempotency.log;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.idempotency.HeldClaim;
import coriandersill.idempotency.KeyState;
import coriandersill.idempotency.Outcome;

/** The answer to a {@link ClaimRequest}. */
public sealed interface ClaimResult {

    /**
     * The call may be handed on, until the hold's time is over. The holder ends it with {@link ClaimService#complete}
     * or {@link ClaimService#release}, or leaves it when it cannot know whether the call ran.
     *
     * @param claim the claim
     */
    record Won(HeldClaim claim) implements ClaimResult {}

    /**
     * An earlier call with the key has ended.
     *
     * @param outcome its outcome
     */
    record Replayed(Outcome outcome) implements ClaimResult {}

    /** An earlier call with the key still runs. */
    record InProgress() implements ClaimResult {}

    /** An earlier call with the key has passed its lifetime without an outcome. */
    record Unknown() implements ClaimResult {}

    /**
     * This call was not run and will not be.
     *
     * @param failure why; its {@code ran} speaks for the key where an earlier call may have run
     */
    record Refused(CallFailure failure) implements ClaimResult {}

    /**
     * Returns what a call that finds a key in {@code state} hears; an unclaimed key is refused with {@code otherwise}.
     */
    static ClaimResult of(KeyState state, CallFailure otherwise) {
        if (state instanceof KeyState.Done done) {
            return new Replayed(done.outcome());
        }
        if (state instanceof KeyState.InProgress) {
            return new InProgress();
        }
        if (state instanceof KeyState.Unknown) {
            return new Unknown();
        }
        return new Refused(state instanceof KeyState.Refused refused ? refused.failure() : otherwise);
    }

    /** Returns a refusal that the log did not take the claim in time, which is a true "not run". */
    static ClaimResult logUnavailable(String reason) {
        return new Refused(CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "the call was not run: " + reason));
    }
}
