package coriandersill.routing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Chooses by another policy among the candidates with a {@linkplain Candidate#hasFreeSlot() free slot}; none if all are
 * full.
 */
public final class FreeSlotPolicy implements RoutingPolicy {
    private final RoutingPolicy delegate;

    private FreeSlotPolicy(RoutingPolicy delegate) {
        this.delegate = Objects.requireNonNull(delegate, "delegate");
    }

    /** Returns a policy that lets {@code delegate} choose; rejects null. */
    public static FreeSlotPolicy of(RoutingPolicy delegate) {
        return new FreeSlotPolicy(delegate);
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        return delegate.choose(
                request, candidates.stream().filter(Candidate::hasFreeSlot).toList());
    }
}
