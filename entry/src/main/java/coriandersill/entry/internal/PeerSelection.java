package coriandersill.entry.internal;

import coriandersill.core.InstanceId;
import coriandersill.membership.ConnectionPlan;
import coriandersill.membership.Member;
import coriandersill.membership.Role;
import coriandersill.wire.PeerIdentity;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Selects the members that this entry opens links to. Thread-safe. */
final class PeerSelection {
    private static final int MAX_FULL_MESH_PEERS = 32;

    private final ConnectionPlan plan;
    private final Member self;

    PeerSelection(ConnectionPlan plan, PeerIdentity self) {
        this.plan = plan;
        this.self = new Member(self.instance(), Role.ENTRY, self.zone(), "", 0, Optional.empty(), Optional.empty());
    }

    /** Returns the sidecars and the other entries to be linked with, of the connectable ones. */
    Set<InstanceId> select(List<Member> entries, List<Member> sidecars) {
        Set<InstanceId> wanted = new HashSet<>(plan.sidecarsFor(self, withSelf(entries), sidecars));
        wanted.addAll(selectEntries(entries));
        return wanted;
    }

    /**
     * Selects all other entries if there are at most {@link #MAX_FULL_MESH_PEERS} entries, otherwise the peers that the
     * plan selects.
     */
    private Set<InstanceId> selectEntries(List<Member> entries) {
        Set<InstanceId> wanted = new HashSet<>();
        if (entries.size() <= MAX_FULL_MESH_PEERS) {
            entries.forEach(member -> wanted.add(member.id()));
        } else {
            wanted.addAll(plan.peersFor(self, withSelf(entries)));
        }
        wanted.remove(self.id());
        return wanted;
    }

    /** Returns the entries, with this one if it is missing among them. */
    List<Member> withSelf(List<Member> entries) {
        List<Member> all = new ArrayList<>(entries);
        if (all.stream().noneMatch(member -> member.id().equals(self.id()))) {
            all.add(self);
        }
        return all;
    }
}
