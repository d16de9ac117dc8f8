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

/** Campaigns for the leases that this process should hold and resigns from the others. */
final class LeaseCampaigns implements ManagedService {
    private final LeaseService leases;
    private final Set<LeaseName> campaigns = ConcurrentHashMap.newKeySet();

    private LeaseCampaigns(LeaseService leases) {
        this.leases = leases;
    }

    static LeaseCampaigns create(DaemonResources resources, InstanceId instance) {
        return new LeaseCampaigns(LeaseService.builder(
                        resources.platform().log(),
                        resources.scheduler(),
                        new LeaseHolder(instance, resources.incarnation()))
                .executor(resources.workers()::executeOrRun)
                .random(resources.random())
                .events(resources.events())
                .loops(resources.loops())
                .build());
    }

    /** Starts or stops campaigning for a lease. */
    void setCampaigning(String name, boolean campaign) {
        LeaseName lease = LeaseName.of(name);
        if (campaign && campaigns.add(lease)) {
            leases.campaign(lease);
        } else if (!campaign && campaigns.remove(lease)) {
            leases.resign(lease);
        }
    }

    /** Returns the fencing token of a lease while this process holds it; empty otherwise. */
    OptionalLong fencingToken(String name) {
        return leases.held(LeaseName.of(name)).map(HeldLease::token).stream()
                .mapToLong(Long::longValue)
                .findFirst();
    }

    @Override
    public CompletableFuture<Void> start() {
        // Completes only after the log has responded; the start of the daemon does not wait for the log.
        CompletableFuture<Void> unused = leases.start();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return leases.stop(grace);
    }
}
