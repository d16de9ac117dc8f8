package coriandersill.rollout;

import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The newest rollout of each service, for the selection of upstreams. Thread-safe; bounded by the number of services.
 */
public final class OrderedRollouts {
    private final Map<ServiceName, OrderedRollout> rollouts = new ConcurrentHashMap<>();

    private OrderedRollouts() {}

    /** Returns a table without rollouts. */
    public static OrderedRollouts create() {
        return new OrderedRollouts();
    }

    /** Sets the newest rollout of its service; {@link OrderLedger} tells which one that is. */
    public void put(OrderedRollout rollout) {
        rollouts.put(rollout.order().id().service(), rollout);
    }

    /** Returns the newest rollout of a service. */
    public Optional<OrderedRollout> of(ServiceName service) {
        return Optional.ofNullable(rollouts.get(service));
    }

    /** Returns the rollouts that are in progress. */
    public List<OrderedRollout> inProgress() {
        return rollouts.values().stream()
                .filter(rollout -> rollout.conclusion().isEmpty())
                .toList();
    }

    /** Returns whether a call of a service may be sent to a version at all. */
    public boolean permits(ServiceName service, VersionName version) {
        OrderedRollout rollout = rollouts.get(service);
        return rollout == null || !rollout.order().target().equals(version) || !rollout.isReverted();
    }

    /** Returns whether a call with this hash should be sent to a version, if an upstream of a wanted one has room. */
    public boolean prefers(ServiceName service, VersionName version, long hash) {
        OrderedRollout rollout = rollouts.get(service);
        return rollout == null
                || rollout.isOver()
                || rollout.selectsTarget(hash) == rollout.order().target().equals(version);
    }

    /** Returns whether a running call may move from an upstream of one version to one of another. */
    public boolean permitsMove(ServiceName service, VersionName from, VersionName to) {
        OrderedRollout rollout = rollouts.get(service);
        if (rollout == null || rollout.isOver()) {
            return permits(service, to);
        }
        return rollout.hasSwitched() ? to.equals(rollout.order().target()) : from.equals(to);
    }

    /** Returns whether calls of a service are evidence for a rollout in progress. */
    public boolean isObserved(ServiceName service) {
        OrderedRollout rollout = rollouts.get(service);
        return rollout != null && rollout.conclusion().isEmpty();
    }

    /**
     * Counts a call in the evidence of its service's rollout, if one is in progress. A successful sample without a time
     * to first token adds its time between tokens to a call that is counted already.
     */
    public void record(CallSample sample) {
        OrderedRollout rollout = rollouts.get(sample.service());
        if (rollout == null || rollout.conclusion().isPresent()) {
            return;
        }
        boolean isTarget = sample.version().equals(rollout.order().target());
        CallSample labelled = new CallSample(
                sample.service(),
                isTarget ? sample.version() : OrderedRollout.OTHER_VERSIONS,
                sample.route(),
                sample.zone(),
                sample.failed(),
                sample.firstTokenNanos(),
                sample.betweenTokensNanos());
        if (!sample.failed() && sample.firstTokenNanos() == CallSample.NOT_MEASURED) {
            rollout.evidence().recordBetweenTokens(labelled);
        } else {
            rollout.evidence().record(labelled);
        }
    }
}
