package coriandersill.routing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Chooses by another policy among the candidates with a free slot and enough free memory for the request; none if all
 * are full.
 */
public final class RoomPolicy implements RoutingPolicy {
    private final RoutingPolicy delegate;

    private RoomPolicy(RoutingPolicy delegate) {
        this.delegate = Objects.requireNonNull(delegate, "delegate");
    }

    /** Returns a policy that lets {@code delegate} choose; rejects null. */
    public static RoomPolicy of(RoutingPolicy delegate) {
        return new RoomPolicy(delegate);
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        return delegate.choose(
                request,
                candidates.stream()
                        .filter(candidate -> candidate.hasFreeSlot() && candidate.hasRoomFor(request.predictedTokens()))
                        .toList());
    }
}
