package coriandersill.membership;

import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Determines which entries connect to which sidecars, by rendezvous hashing over the members known to each process.
 *
 * <pre>{@code
 * ConnectionPlan plan = ConnectionPlan.of(ConnectionPlanSettings.standard(), RegionResolver.byPrefix());
 * Set<InstanceId> wanted = plan.sidecarsFor(self, entries, sidecars);
 * }</pre>
 *
 * <p>Each sidecar is assigned the entries with the highest scores for it, a fixed number from each tier: its
 * availability zone, the rest of its region, and other regions. If a tier has too few entries, the shortfall moves to
 * the other tiers. In addition, each entry selects the sidecars with the highest scores for it until it has a minimum
 * number of every version. Thus every sidecar has a minimum number of entries, every entry can reach every version, and
 * adding or removing one instance changes few connections between other instances. Immutable.
 */
public final class ConnectionPlan {
    private record ServiceVersion(Optional<ServiceName> service, Optional<VersionName> version) {}

    private final ConnectionPlanSettings settings;
    private final RegionResolver regions;

    private ConnectionPlan(ConnectionPlanSettings settings, RegionResolver regions) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.regions = Objects.requireNonNull(regions, "regions");
    }

    /** Returns a plan with the given settings. */
    public static ConnectionPlan of(ConnectionPlanSettings settings, RegionResolver regions) {
        return new ConnectionPlan(settings, regions);
    }

    /** Returns the sidecars that the entry {@code self} connects to; {@code entries} must include {@code self}. */
    public Set<InstanceId> sidecarsFor(Member self, Collection<Member> entries, Collection<Member> sidecars) {
        List<HashedMember> hashedEntries = entries.stream().map(this::hashed).toList();
        HashedMember own = hashed(self);
        Set<InstanceId> chosen = new HashSet<>();
        Map<ServiceVersion, List<HashedMember>> versions = new HashMap<>();
        for (Member member : sidecars) {
            HashedMember sidecar = hashed(member);
            if (isAssigned(sidecar, own, hashedEntries)) {
                chosen.add(member.id());
            }
            versions.computeIfAbsent(new ServiceVersion(member.service(), member.version()), v -> new ArrayList<>())
                    .add(sidecar);
        }
        versions.values().forEach(ofVersion -> addUpToMinimum(own, ofVersion, hashedEntries.size(), chosen));
        return chosen;
    }

    /** Returns the entries that {@code self} asks for newer configuration, half of them in other zones if possible. */
    public List<InstanceId> peersFor(Member self, Collection<Member> entries) {
        HashedMember own = hashed(self);
        List<HashedMember> others = new ArrayList<>();
        entries.stream().filter(entry -> !entry.id().equals(self.id())).forEach(entry -> others.add(hashed(entry)));
        others.sort(Comparator.comparingLong(other -> -own.score(other)));
        List<InstanceId> peers = new ArrayList<>();
        addUpTo((settings.peerCount() + 1) / 2, others, other -> tier(own, other) == 0, peers);
        addUpTo(settings.peerCount(), others, other -> tier(own, other) > 0, peers);
        addUpTo(settings.peerCount(), others, other -> true, peers);
        return List.copyOf(peers);
    }

    private static void addUpTo(
            int size, List<HashedMember> from, Predicate<HashedMember> condition, List<InstanceId> to) {
        for (HashedMember candidate : from) {
            if (to.size() < size && condition.test(candidate) && !to.contains(candidate.id())) {
                to.add(candidate.id());
            }
        }
    }

    /** Returns whether the entry {@code self} is among the highest-scoring entries of its tier for a sidecar. */
    private boolean isAssigned(HashedMember sidecar, HashedMember self, List<HashedMember> entries) {
        // Both arrays count entries by tier.
        int[] wanted = {settings.sameZoneEntries(), settings.sameRegionEntries(), settings.otherRegionEntries()};
        int[] present = new int[wanted.length];
        for (HashedMember entry : entries) {
            present[tier(sidecar, entry)]++;
        }
        for (int tier = 0; tier < wanted.length - 1; tier++) {
            int shortfall = Math.max(0, wanted[tier] - present[tier]);
            wanted[tier] -= shortfall;
            wanted[tier + 1] += shortfall;
        }
        moveShortfallToNearerTiers(wanted, present);
        int ownTier = tier(sidecar, self);
        if (wanted[ownTier] == 0) {
            return false;
        }
        long ownScore = sidecar.score(self);
        int higherScores = 0;
        for (HashedMember entry : entries) {
            if (tier(sidecar, entry) == ownTier
                    && sidecar.score(entry) > ownScore
                    && ++higherScores >= wanted[ownTier]) {
                return false;
            }
        }
        return true;
    }

    /** Moves the shortfall of farther tiers to nearer ones, which may have more entries than assigned so far. */
    private static void moveShortfallToNearerTiers(int[] wanted, int[] present) {
        for (int tier = wanted.length - 1; tier > 0; tier--) {
            int shortfall = Math.max(0, wanted[tier] - present[tier]);
            wanted[tier] -= shortfall;
            wanted[tier - 1] += shortfall;
        }
    }

    /**
     * Adds sidecars of one version until the minimum is reached. If entries far outnumber the sidecars, the minimum is
     * reduced, to 1 at least, so that few sidecars do not receive connections from too many entries.
     */
    private void addUpToMinimum(
            HashedMember self, List<HashedMember> sidecars, int entryCount, Set<InstanceId> chosen) {
        long maxPerEntry = (long) settings.maxExtraEntriesPerSidecar() * sidecars.size() / Math.max(1, entryCount);
        int minimum = (int) Math.min(settings.minSidecarsPerVersion(), Math.max(1, maxPerEntry));
        int chosenCount = 0;
        for (HashedMember sidecar : sidecars) {
            chosenCount += chosen.contains(sidecar.id()) ? 1 : 0;
        }
        if (chosenCount >= minimum) {
            return;
        }
        sidecars.sort(Comparator.<HashedMember>comparingInt(sidecar -> tier(self, sidecar))
                .thenComparingLong(sidecar -> -self.score(sidecar)));
        for (HashedMember sidecar : sidecars) {
            if (chosenCount < minimum && chosen.add(sidecar.id())) {
                chosenCount++;
            }
        }
    }

    /** Returns 0 for members of the same zone, 1 for members of the same region, 2 otherwise. */
    private static int tier(HashedMember one, HashedMember other) {
        if (one.zoneHash == other.zoneHash) {
            return 0;
        }
        return one.regionHash == other.regionHash ? 1 : 2;
    }

    private HashedMember hashed(Member member) {
        return new HashedMember(
                member.id(),
                RendezvousHash.of(member.id().value()),
                RendezvousHash.of(member.zone().value()),
                RendezvousHash.of(regions.regionOf(member.zone())));
    }

    private record HashedMember(InstanceId id, long idHash, long zoneHash, long regionHash) {
        /** Returns the rendezvous score of a pair of members: symmetric and never negative. */
        long score(HashedMember other) {
            return RendezvousHash.score(idHash, other.idHash);
        }
    }
}
