package coriandersill.rollout;

import java.util.List;

/**
 * What the old and the new version of a service showed in one closed time window.
 *
 * @param window the number of the window
 * @param share the share of traffic that the new version was given
 * @param strata one for each route and availability zone in which either version had calls
 */
public record WindowEvidence(long window, double share, List<Stratum> strata) {

    /** Copies the list. */
    public WindowEvidence {
        strata = List.copyOf(strata);
    }
}
