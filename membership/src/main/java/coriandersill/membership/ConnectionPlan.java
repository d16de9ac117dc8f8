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
 * Which entries connect to which sidecars, by rendezvous hashing over the members that each process knows.
 *
 * <pre>{@code
 * ConnectionPlan plan = ConnectionPlan.of(PlanSettings.standard(), Regions.byPrefix());
 * Set<InstanceId> wanted = plan.sidecarsFor(self, entries, sidecars);
 * }</pre>
 *
 * <p>A sidecar is reached by the entries that score highest for it: first those of its zone, then of its region, then
 * of elsewhere; a tier that is short is filled from the next. Each entry adds the sidecars that score highest for it
 * until it reaches a few of every version. So each sidecar has a least number of entries and each entry a way to each
 * version, and when one instance comes or goes only its own connections move. Immutable.
 */
public final class ConnectionPlan {
    private record Version(Optional<ServiceName> service, Optional<VersionName> version) {}

    private final ConnectionPlanSettings settings;
    private final RegionResolver regions;

    private ConnectionPlan(ConnectionPlanSettings settings, RegionResolver regions) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.regions = Objects.requireNonNull(regions, "regions");
    }

    /** Returns a plan. */
    public static ConnectionPlan of(ConnectionPlanSettings settings, RegionResolver regions) {
        return new ConnectionPlan(settings, regions);
    }

    /** Returns the sidecars that the entry {@code self} connects to; {@code entries} includes it. */
    public Set<InstanceId> sidecarsFor(Member self, Collection<Member> entries, Collection<Member> sidecars) {
        List<Scored> rivals = entries.stream().map(this::scored).toList();
        Scored own = scored(self);
        Set<InstanceId> chosen = new HashSet<>();
        Map<Version, List<Scored>> versions = new HashMap<>();
        for (Member member : sidecars) {
            Scored sidecar = scored(member);
            if (reachedBy(sidecar, own, rivals)) {
                chosen.add(member.id());
            }
            versions.computeIfAbsent(new Version(member.service(), member.version()), v -> new ArrayList<>())
                    .add(sidecar);
        }
        versions.values().forEach(version -> fillFloor(own, version, rivals.size(), chosen));
        return chosen;
    }

    /** Returns the entries that {@code self} asks for newer configuration, half of them of other zones if there are. */
    public List<InstanceId> peersFor(Member self, Collection<Member> entries) {
        Scored own = scored(self);
        List<Scored> others = new ArrayList<>();
        entries.stream().filter(entry -> !entry.id().equals(self.id())).forEach(entry -> others.add(scored(entry)));
        others.sort(Comparator.comparingLong(other -> -own.score(other)));
        List<InstanceId> peers = new ArrayList<>();
        addUpTo((settings.peerCount() + 1) / 2, others, other -> tier(own, other) == 0, peers);
        addUpTo(settings.peerCount(), others, other -> tier(own, other) > 0, peers);
        addUpTo(settings.peerCount(), others, other -> true, peers);
        return List.copyOf(peers);
    }

    private static void addUpTo(int size, List<Scored> from, Predicate<Scored> condition, List<InstanceId> to) {
        for (Scored candidate : from) {
            if (to.size() < size && condition.test(candidate) && !to.contains(candidate.id())) {
                to.add(candidate.id());
            }
        }
    }

    private boolean reachedBy(Scored sidecar, Scored self, List<Scored> entries) {
        int[] wanted = {settings.sameZoneEntries(), settings.sameRegionEntries(), settings.otherRegionEntries()};
        int[] present = new int[wanted.length];
        for (Scored entry : entries) {
            present[tier(sidecar, entry)]++;
        }
        for (int tier = 0; tier < wanted.length - 1; tier++) {
            int missing = Math.max(0, wanted[tier] - present[tier]);
            wanted[tier] -= missing;
            wanted[tier + 1] += missing;
        }
        fillBackwards(wanted, present);
        int own = tier(sidecar, self);
        if (wanted[own] == 0) {
            return false;
        }
        long mine = sidecar.score(self);
        int better = 0;
        for (Scored entry : entries) {
            if (tier(sidecar, entry) == own && sidecar.score(entry) > mine && ++better >= wanted[own]) {
                return false;
            }
        }
        return true;
    }

    /** Gives what the farthest tiers lack to nearer ones that have more. */
    private static void fillBackwards(int[] wanted, int[] present) {
        for (int tier = wanted.length - 1; tier > 0; tier--) {
            int missing = Math.max(0, wanted[tier] - present[tier]);
            wanted[tier] -= missing;
            wanted[tier - 1] += missing;
        }
    }

    private void fillFloor(Scored self, List<Scored> version, int entries, Set<InstanceId> chosen) {
        long affordable = (long) settings.maxFromFloor() * version.size() / Math.max(1, entries);
        int floor = (int) Math.min(settings.minSidecarsPerVersion(), Math.max(1, affordable));
        int reached = 0;
        for (Scored sidecar : version) {
            reached += chosen.contains(sidecar.id()) ? 1 : 0;
        }
        if (reached >= floor) {
            return;
        }
        version.sort(Comparator.<Scored>comparingInt(sidecar -> tier(self, sidecar))
                .thenComparingLong(sidecar -> -self.score(sidecar)));
        for (Scored sidecar : version) {
            if (reached < floor && chosen.add(sidecar.id())) {
                reached++;
            }
        }
    }

    private static int tier(Scored one, Scored other) {
        if (one.zone == other.zone) {
            return 0;
        }
        return one.region == other.region ? 1 : 2;
    }

    private Scored scored(Member member) {
        return new Scored(
                member.id(),
                hash(member.id().value()),
                hash(member.zone().value()),
                hash(regions.regionOf(member.zone())));
    }

    private static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(hash);
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }

    private record Scored(InstanceId id, long hash, long zone, long region) {
        /** The same from either side, never negative. */
        long score(Scored other) {
            return mix(hash + other.hash) >>> 1;
        }
    }
}
