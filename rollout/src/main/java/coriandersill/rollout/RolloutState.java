package coriandersill.rollout;

import java.time.Instant;

/**
 * The state of a rollout according to the log.
 *
 * @param id the rollout
 * @param phase its phase
 * @param share the share of traffic of the new version, from 0 to 1
 * @param fencingToken the highest fencing token in any record of the rollout, including records that were not applied
 * @param offset the offset of the record that led to this state
 * @param recordedAt when the log accepted that record, by the clock of the log
 * @param phaseSince when the phase was entered, by the clock of the log
 * @param reason the reason given in that record
 */
public record RolloutState(
        RolloutId id,
        RolloutPhase phase,
        double share,
        long fencingToken,
        long offset,
        Instant recordedAt,
        Instant phaseSince,
        String reason) {}
