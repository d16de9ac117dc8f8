package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.upstreams.Upstream;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Finds an upstream for each attempt of one call: samples engines and asks them for their load, selects one, and waits
 * for a short time or fails the call if none takes it.
 *
 * <p>Confined to the Vert.x context of the call; decisions over shared tables run on the worker pool.
 */
final class UpstreamSearch {
    /** A call waits for an available upstream for at most the route's target latency divided by this. */
    private static final int SELECTION_WAIT_DIVISOR = 8;

    /** The delay between tries to select an upstream while a call waits. */
    private static final long SELECTION_RETRY_DELAY_MILLIS = 25;

    private final AbstractCall call;
    private final RelayComponents components;
    private final CallPlan plan;

    UpstreamSearch(AbstractCall call) {
        this.call = call;
        this.components = call.components;
        this.plan = call.plan;
    }

    /** Selects an upstream and sends the call there, or waits until one is available. */
    void start() {
        if (call.isRefusedByQuarantine()) {
            return;
        }
        if (plan.service().engine().isEmpty()) {
            selectUpstream(Set.of(), UpstreamSelector.Room.PREFERRED);
            return;
        }
        call.steps.runOnWorker(
                () -> components.selector().sampleEngines(plan, call.attempts.excluded()), sample -> components
                        .loadReader()
                        .refresh(sample)
                        .whenComplete((answered, error) ->
                                call.steps.runOnContext(() -> selectEngine(error == null ? answered : Set.of()))));
    }

    /** Selects an engine after some have been asked for their load; none need have room if no load is known. */
    private void selectEngine(Set<InstanceId> answered) {
        boolean requiresRoom = call.attempts.isUnsent()
                && !answered.isEmpty()
                && components.dispatchQueue().requiresRoom(plan);
        selectUpstream(answered, requiresRoom ? UpstreamSelector.Room.REQUIRED : UpstreamSelector.Room.PREFERRED);
    }

    private void selectUpstream(Set<InstanceId> preferred, UpstreamSelector.Room room) {
        call.steps.runOnWorker(
                () -> components.selector().selectUpstream(plan, excluded(preferred, room), preferred, room),
                found -> found.ifPresentOrElse(call::send, () -> handleNoUpstream(preferred, room)),
                found -> found.ifPresent(call.place::returnUnused));
    }

    /** Returns the upstreams that are not considered: if room is required, also those whose load is not known. */
    private Set<InstanceId> excluded(Set<InstanceId> answered, UpstreamSelector.Room room) {
        Set<InstanceId> all = new HashSet<>(call.attempts.excluded());
        if (room == UpstreamSelector.Room.REQUIRED) {
            components.upstreams().inService(plan.service().name()).stream()
                    .map(Upstream::instance)
                    .filter(instance -> !answered.contains(instance))
                    .forEach(all::add);
        }
        return Set.copyOf(all);
    }

    /** Waits for an upstream that takes the call, or fails the call. */
    private void handleNoUpstream(Set<InstanceId> preferred, UpstreamSelector.Room room) {
        if (room == UpstreamSelector.Room.REQUIRED) {
            if (!components.dispatchQueue().returnWithoutRoom(call)) {
                selectUpstream(preferred, UpstreamSelector.Room.PREFERRED);
            }
            return;
        }
        if (isRefusedByQuietTimes()) {
            return;
        }
        if (waitLeftNanos() > 0 && call.attempts.isUnsent()) {
            // Nothing was sent yet, so only unreachable upstreams are excluded, and they may be reachable again.
            call.attempts.clearExcluded();
            call.steps.runLater(SELECTION_RETRY_DELAY_MILLIS, this::start);
            return;
        }
        call.fail(CallFailure.of(
                        ErrorKind.UNAVAILABLE,
                        "no upstream of " + plan.service().name() + " takes it")
                .withRan(call.attempts.ranBefore()));
    }

    /**
     * Fails the call at once if all upstreams of its service want no request for longer than it may wait; the caller is
     * told when the first of them accepts some again. Returns whether it did.
     */
    private boolean isRefusedByQuietTimes() {
        Optional<Duration> quiet =
                components.upstreams().timeUntilQuietEnds(plan.service().name());
        if (quiet.isEmpty() || quiet.get().toNanos() < waitLeftNanos()) {
            return false;
        }
        call.fail(CallFailure.of(
                        ErrorKind.OVERLOADED,
                        "all upstreams of " + plan.service().name() + " want no request for "
                                + quiet.get().toMillis() + " ms")
                .withRetryAfter(components.statements().spread(quiet.get()))
                .withRan(call.attempts.ranBefore()));
        return true;
    }

    /** Returns how much longer the call may wait for an upstream, in nanoseconds; not positive if it may not. */
    private long waitLeftNanos() {
        return plan.route().targetLatency().toNanos() / SELECTION_WAIT_DIVISOR - call.elapsedNanos();
    }
}
