package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import coriandersill.wire.Message;
import java.util.List;

/** Takes the answer to one call; called on the call's context only. */
interface ResponseSink {

    /** Takes tokens in order; each payload is one event of the upstream's stream. */
    void tokens(List<byte[]> payloads);

    /** The generation has ended by itself. */
    void finished();

    /** The whole answer of a plain call. */
    void answered(Message.PlainResponse response);

    /** The call failed; nothing follows. */
    void failed(CallFailure failure);

    /** Whether the caller takes more tokens now; if not, {@code whenReady} runs later, once. */
    boolean ready(Runnable whenReady);
}
