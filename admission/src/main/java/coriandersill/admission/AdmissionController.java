package coriandersill.admission;

import coriandersill.core.CallId;
import java.util.List;

/**
 * Controls which requests are admitted to one upstream.
 *
 * <p>Methods that free capacity return the resulting decisions on waiting requests, in order. Implementations only
 * decide: the caller dispatches the admitted requests and fails the refused ones. Implementations are thread-safe.
 */
public interface AdmissionController {

    /** Decides whether a new request is admitted, has to wait or is refused. */
    AdmissionDecision offer(AdmissionRequest request);

    /** Records that an admitted request has generated {@code tokens} more tokens. */
    void generated(CallId id, int tokens);

    /** Records the end of an admitted or waiting request; unknown ones are ignored. */
    List<AdmissionDecision> finished(CallId id, Completion completion);

    /** Refuses requests whose wait has expired and admits waiting requests that fit now. */
    List<AdmissionDecision> processQueue();

    /** Returns the current load. */
    UpstreamLoad load();
}
