package coriandersill.daemon.internal;

import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.leases.HeldLease;
import coriandersill.leases.LeaseHolder;
import coriandersill.leases.LeaseName;
import coriandersill.leases.log.LeaseService;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Seeks the leases that this process should hold now, and gives back the others. */
final class LeaseCampaigns implements ManagedService {
    private final LeaseService leases;
    private final Set<LeaseName> wanted = ConcurrentHashMap.newKeySet();

    private LeaseCampaigns(LeaseService leases) {
        this.leases = leases;
    }

    static LeaseCampaigns create(DaemonResources host, InstanceId instance) {
        return new LeaseCampaigns(LeaseService.builder(
                        host.platform().log(), host.scheduler(), new LeaseHolder(instance, host.incarnation()))
                .executor(host.workers()::executeOrRun)
                .random(host.random())
                .events(host.events())
                .build());
    }

    /** Seeks a lease from now on, or no longer. */
    void want(String name, boolean seek) {
        LeaseName lease = LeaseName.of(name);
        if (seek && wanted.add(lease)) {
            leases.campaign(lease);
        } else if (!seek && wanted.remove(lease)) {
            leases.resign(lease);
        }
    }

    /** The fencing token of a lease while this process may act under it. */
    OptionalLong token(String name) {
        return leases.held(LeaseName.of(name)).map(HeldLease::token).stream()
                .mapToLong(Long::longValue)
                .findFirst();
    }

    @Override
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> unused = leases.start();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return leases.stop(grace);
    }
}
