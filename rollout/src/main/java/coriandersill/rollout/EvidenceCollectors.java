package coriandersill.rollout;

import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the processes to which all others send their evidence about a service.
 *
 * <p>Each process computes the selection from its own list of live entries by rendezvous hashing. The selection
 * therefore needs neither the log nor a lease, distributes services over the entries, and changes little when entries
 * join or leave. While the lists of processes differ, evidence may reach an additional process.
 */
public final class EvidenceCollectors {
    /** The number of processes that collect the evidence about a service. */
    public static final int COUNT = 2;

    private EvidenceCollectors() {}

    /** Returns the collectors of a service, at most {@link #COUNT}; empty if {@code entries} is empty. */
    public static List<InstanceId> of(ServiceName service, Collection<InstanceId> entries) {
        return entries.stream()
                .sorted(Comparator.<InstanceId>comparingDouble(entry -> score(service, entry))
                        .thenComparing(Comparator.naturalOrder()))
                .limit(COUNT)
                .toList();
    }

    private static double score(ServiceName service, InstanceId entry) {
        return TrafficSplit.unitPosition(TrafficSplit.hashOf(service.value() + '/' + entry.value()));
    }
}
