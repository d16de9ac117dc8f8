package coriandersill.entry;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.WorkspaceName;
import java.util.concurrent.CompletableFuture;

/** Claims the idempotency keys of non-idempotent calls, and records the outcomes of the claimed calls. */
public interface IdempotencyClaims {

    /**
     * Claims a key for a call; the future fails with a {@link CallFailure} if the call must not run now.
     *
     * @param workspace the workspace that the key belongs to
     * @param key the value of the {@code Idempotency-Key} header
     * @param requestIdentity identifies the request that the key stands for: equal bytes for equal requests
     */
    CompletableFuture<Claim> claim(WorkspaceName workspace, String key, byte[] requestIdentity);

    /** The result of a claim. */
    sealed interface Claim {

        /**
         * The key was claimed; the call must be dispatched with this fencing token.
         *
         * @param fencingToken the offset of the claim in the log
         */
        record Won(long fencingToken) implements Claim {}

        /**
         * A previous call with this key has already run; this is its recorded response.
         *
         * @param status the HTTP status code
         * @param contentType the media type of the body, or an empty string
         * @param body the body; empty if it was not stored
         * @param bodyKept whether {@code body} is the complete body of the response
         */
        @SuppressWarnings("ArrayRecordComponent")
        record Replayed(int status, String contentType, byte[] body, boolean bodyKept) implements Claim {}
    }

    /** Records the response of a call that ran under a claim. */
    void complete(Claim.Won claim, int status, String contentType, byte[] body);

    /** Releases the claim of a call that did not run and will not run, so that the key may be claimed again. */
    void release(Claim.Won claim);

    /** Abandons the claim of a call that may or may not have run; its key stays claimed. */
    void abandon(Claim.Won claim);

    /** Returns an implementation that refuses every claim, for a process without the platform's log. */
    static IdempotencyClaims unavailable() {
        return new IdempotencyClaims() {
            @Override
            public CompletableFuture<Claim> claim(WorkspaceName workspace, String key, byte[] requestIdentity) {
                return CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "calls that may not be repeated need the log")
                        .asFuture();
            }

            @Override
            public void complete(Claim.Won claim, int status, String contentType, byte[] body) {
                throw new IllegalStateException("this implementation refuses every claim; no claim can have been won");
            }

            @Override
            public void release(Claim.Won claim) {
                throw new IllegalStateException("this implementation refuses every claim; no claim can have been won");
            }

            @Override
            public void abandon(Claim.Won claim) {
                throw new IllegalStateException("this implementation refuses every claim; no claim can have been won");
            }
        };
    }
}
