package coriandersill.rollout;

import java.util.List;

/**
 * The evidence about the old and the new version of a service from one closed time window.
 *
 * @param window the number of the window
 * @param share the share of traffic assigned to the new version, from 0 to 1
 * @param strata one per route and availability zone in which either version has calls
 */
public record WindowEvidence(long window, double share, List<Stratum> strata) {

    /** Copies the list. */
    public WindowEvidence {
        strata = List.copyOf(strata);
    }
}
