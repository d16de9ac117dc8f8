package coriandersill.admission;

import coriandersill.core.CallId;
import java.util.List;

/**
 * The single gate before one upstream.
 *
 * <p>Each call that changes the state returns the decisions for other requests that follow from it, in order; the
 * caller carries them out. Implementations are safe for use by many threads and take no action of their own.
 */
public interface AdmissionController {

    /** Asks for room. */
    AdmissionDecision offer(AdmissionRequest request);

    /** Notes that {@code tokens} more tokens were generated, the first of them being the first of all if so marked. */
    void generated(CallId id, int tokens);

    /** Notes the end of an admitted or waiting request; unknown ones are ignored. */
    List<AdmissionDecision> finished(CallId id, Completion completion);

    /** Refuses requests whose wait is over and admits those for which time has made room. */
    List<AdmissionDecision> expire();

    /** The present load. */
    UpstreamLoad load();
}
