package coriandersill.rollout;

import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the processes to which all others send their evidence on a service.
 *
 * <p>Each process computes the choice from its own list of live entries by rendezvous hashing, so it needs neither the
 * log nor a lease, spreads services over the entries, and changes only when a chosen entry goes. Lists that differ for
 * a while only make evidence arrive at one process more.
 */
public final class EvidenceCollectors {
    /** How many processes collect the evidence on a service. */
    public static final int COUNT = 2;

    private EvidenceCollectors() {}

    /** Returns the collectors of a service, at most {@link #COUNT}; empty when {@code entries} is. */
    public static List<InstanceId> of(ServiceName service, Collection<InstanceId> entries) {
        return entries.stream()
                .sorted(Comparator.<InstanceId>comparingDouble(entry -> rank(service, entry))
                        .thenComparing(Comparator.naturalOrder()))
                .limit(COUNT)
                .toList();
    }

    private static double rank(ServiceName service, InstanceId entry) {
        return TrafficSplit.position(TrafficSplit.hashOf(service.value() + '/' + entry.value()));
    }
}
