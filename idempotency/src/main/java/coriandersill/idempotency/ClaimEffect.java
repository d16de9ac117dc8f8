package coriandersill.idempotency;

import coriandersill.core.CallId;

/** The effect of applying a record of the claims stream. */
public sealed interface ClaimEffect {

    /**
     * The claim acquired its key.
     *
     * @param claim the claim
     * @param token the fencing token of the claim, which is the offset of its record
     */
    record Won(ClaimRecord.Claimed claim, long token) implements ClaimEffect {}

    /**
     * The claim did not acquire its key.
     *
     * @param claimId the identifier of the claim
     * @param state the state in which the claim found the key
     */
    record Lost(CallId claimId, KeyState state) implements ClaimEffect {}

    /**
     * This reader cannot decide the claim, because it may lack earlier records of the key or has no room for it. Other
     * readers may treat the claim as won, but a call of this process must not run under it.
     *
     * @param claim the claim
     * @param token the fencing token with which the claim can be released
     */
    record Undecided(ClaimRecord.Claimed claim, long token) implements ClaimEffect {}

    /**
     * A claim was released or completed.
     *
     * @param key the key of the claim
     */
    record Settled(ClaimKey key) implements ClaimEffect {}

    /** The record had no effect: its offset was already applied, or its key has no unsettled claim with its token. */
    record Ignored() implements ClaimEffect {}
}
