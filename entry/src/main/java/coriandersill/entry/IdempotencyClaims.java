package coriandersill.entry;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.WorkspaceName;
import java.util.concurrent.CompletableFuture;

/** Decides whether a call that may not be repeated runs, and remembers how it ended. */
public interface IdempotencyClaims {

    /**
     * Claims a key for a call; the future fails with a {@link CallFailure} when the call is not to run now.
     *
     * @param workspace whose key it is
     * @param key the {@code Idempotency-Key} header
     * @param request what the key stands for: equal bytes for equal requests
     */
    CompletableFuture<Claim> claim(WorkspaceName workspace, String key, byte[] request);

    /** What a claim came to. */
    sealed interface Claim {

        /**
         * The call is to run, under this fencing token.
         *
         * @param fencingToken the claim's offset on the log
         */
        record Won(long fencingToken) implements Claim {}

        /**
         * The call ran before, and this was its answer.
         *
         * @param status the HTTP status
         * @param contentType the media type of the body; empty when there is none
         * @param body the body
         * @param bodyKept whether the body is whole
         */
        @SuppressWarnings("ArrayRecordComponent")
        record Replayed(int status, String contentType, byte[] body, boolean bodyKept) implements Claim {}
    }

    /** Notes the answer of a call that was run under a claim. */
    void complete(Claim.Won claim, int status, String contentType, byte[] body);

    /** Notes that a claimed call was not run and will not be, so that the key may be claimed again. */
    void release(Claim.Won claim);

    /** Notes that it cannot be known whether a claimed call ran; its key stays claimed. */
    void abandon(Claim.Won claim);

    /** Returns a stock policy that refuses every such call, for a process without the platform's log. */
    static IdempotencyClaims unavailable() {
        return new IdempotencyClaims() {
            @Override
            public CompletableFuture<Claim> claim(WorkspaceName workspace, String key, byte[] request) {
                return CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "calls that may not be repeated need the log")
                        .asFuture();
            }

            @Override
            public void complete(Claim.Won claim, int status, String contentType, byte[] body) {
                throw new IllegalStateException("no claim is ever won here");
            }

            @Override
            public void release(Claim.Won claim) {
                throw new IllegalStateException("no claim is ever won here");
            }

            @Override
            public void abandon(Claim.Won claim) {
                throw new IllegalStateException("no claim is ever won here");
            }
        };
    }
}
