package coriandersill.rollout;

import java.time.Instant;

/**
 * Where a rollout stands by the log.
 *
 * @param id the rollout
 * @param phase its phase
 * @param share the share of traffic of the new version
 * @param fencingToken the highest fencing token seen
 * @param offset the offset of the record that led here
 * @param since when that record was taken, by the log's clock
 * @param phaseSince when the phase was entered, by the log's clock
 * @param evidence the evidence of that record
 */
public record RolloutState(
        RolloutId id,
        RolloutPhase phase,
        double share,
        long fencingToken,
        long offset,
        Instant since,
        Instant phaseSince,
        String evidence) {}
