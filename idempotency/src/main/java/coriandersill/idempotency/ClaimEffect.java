package coriandersill.idempotency;

import coriandersill.core.CallId;

/** What a record of the stream of claims brought about. */
public sealed interface ClaimEffect {

    /**
     * A call won its key.
     *
     * @param claim the claim
     * @param token its fencing token: the record's offset
     */
    record Won(ClaimRecord.Claimed claim, long token) implements ClaimEffect {}

    /**
     * A call did not win its key.
     *
     * @param call the call
     * @param state what it finds instead
     */
    record Lost(CallId call, KeyState state) implements ClaimEffect {}

    /**
     * The key is older than what this reader has seen of the stream: others may count the claim as won, this reader may
     * not run it.
     *
     * @param claim the claim
     * @param token its fencing token, to release it by
     */
    record Undecided(ClaimRecord.Claimed claim, long token) implements ClaimEffect {}

    /**
     * A claim was released or completed.
     *
     * @param key its key
     */
    record Settled(ClaimKey key) implements ClaimEffect {}

    /** The record changed nothing: its offset was seen before, or its token is not the one in force. */
    record Ignored() implements ClaimEffect {}
}
