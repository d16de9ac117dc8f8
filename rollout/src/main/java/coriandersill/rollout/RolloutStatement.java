package coriandersill.rollout;

import coriandersill.core.InstanceId;
import coriandersill.core.VersionName;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What a process states of a rollout to the others and to the operators, who act on it: once they were told that a
 * rollout is over, that is a fact, also if the log forgets it in a restoration.
 *
 * @param rollout the rollout, with the first position at which any process read its order
 * @param lastPosition the last position at which its order was read, if the log was restored since
 * @param target its target
 * @param agreement how it ended; empty while it is in progress
 * @param entry the process that states it, or that stated the end
 */
public record RolloutStatement(
        RolloutId rollout, long lastPosition, VersionName target, Optional<Agreement> agreement, InstanceId entry) {

    /** The era of an end that is proposed and not agreed on. */
    public static final long NOT_AGREED = Long.MAX_VALUE;

    /**
     * The end of a rollout.
     *
     * @param conclusion how it ended
     * @param era the era of the log in which that was agreed on, {@link #NOT_AGREED} if it was not
     */
    public record Agreement(OrderedRollout.Conclusion conclusion, long era) {}

    /** Throws {@link NullPointerException} if an argument is null. */
    public RolloutStatement {
        Objects.requireNonNull(rollout, "rollout");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(agreement, "agreement");
        Objects.requireNonNull(entry, "entry");
    }

    /** Returns how the rollout ended; empty while it is in progress. */
    public Optional<OrderedRollout.Conclusion> conclusion() {
        return agreement.map(Agreement::conclusion);
    }

    /** Returns the statement as one that is agreed on in an era, unless it was agreed on before. */
    public RolloutStatement agreedIn(long era) {
        return with(agreement.map(end -> end.era() == NOT_AGREED ? new Agreement(end.conclusion(), era) : end));
    }

    private RolloutStatement with(Optional<Agreement> newAgreement) {
        return new RolloutStatement(rollout, lastPosition, target, newAgreement, entry);
    }

    /**
     * Returns which statement holds if {@code proposed} is made while this one holds. Of two rollouts, it is the one
     * whose order was read last. Of the same rollout, it is the end of the earliest era, of which operators have heard
     * first; within an era, this one's.
     */
    public RolloutStatement orLater(RolloutStatement proposed) {
        if (!isOnSameRollout(proposed)) {
            return proposed.lastPosition > lastPosition ? proposed : this;
        }
        boolean proposedEndHolds = proposed.agreement.isPresent()
                && (agreement.isEmpty()
                        || proposed.agreement.get().era() < agreement.get().era());
        RolloutStatement end = proposedEndHolds ? proposed : this;
        boolean isProposedOlder = proposed.rollout.declarationPosition() < rollout.declarationPosition();
        return new RolloutStatement(
                isProposedOlder ? proposed.rollout : rollout,
                Math.max(lastPosition, proposed.lastPosition),
                target,
                end.agreement,
                end.entry);
    }

    private boolean isOnSameRollout(RolloutStatement other) {
        return rollout.service().equals(other.rollout.service())
                && isOn(
                        other.target,
                        List.of(other.rollout.declarationPosition(), other.lastPosition),
                        other.lastPosition);
    }

    /**
     * Returns whether the statement is on a rollout of the same service that was read at {@code positions}. A copy of
     * the log keeps offsets, so the last position of one may have the other's offset and an earlier era.
     */
    boolean isOn(VersionName otherTarget, Collection<Long> positions, long otherLastPosition) {
        boolean sharesPosition = positions.contains(rollout.declarationPosition()) || positions.contains(lastPosition);
        return target.equals(otherTarget) && (sharesPosition || isOfCopy(lastPosition, otherLastPosition));
    }

    private static boolean isOfCopy(long position, long other) {
        return DeclarationPosition.era(position) != DeclarationPosition.era(other)
                && DeclarationPosition.offset(position) == DeclarationPosition.offset(other);
    }
}
