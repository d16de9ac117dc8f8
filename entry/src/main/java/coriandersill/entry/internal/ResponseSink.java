package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import coriandersill.wire.Message;
import java.util.List;

/** Receives the response to one call; called only on the call's Vert.x context. */
interface ResponseSink {

    /** Called with tokens in order; each payload is one event of the upstream's stream. */
    void onTokens(List<byte[]> payloads);

    /** Called when the generation has completed. */
    void onFinished();

    /** Called with the complete response to a plain call. */
    void onResponse(Message.PlainResponse response);

    /** Called when the call has failed; no other method is called afterwards. */
    void onFailure(CallFailure failure);

    /** Closes the caller's connection, or resets its HTTP/2 stream, because the call can't be answered. */
    void abort();

    /**
     * Returns whether more tokens may be written now. If not, {@code whenWritable} is called once as soon as writing is
     * possible again.
     */
    boolean checkWritable(Runnable whenWritable);
}
