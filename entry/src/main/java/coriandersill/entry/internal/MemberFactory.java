package coriandersill.entry.internal;

import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.membership.ListedMember;
import coriandersill.membership.Member;
import coriandersill.membership.Role;
import coriandersill.sharedlog.ListedInstance;
import coriandersill.wire.PeerIdentity;
import java.util.Optional;

/** Creates members from what the instance list and the peers themselves say. */
final class MemberFactory {
    private static final String SIDECAR_ROLE = "sidecar";

    private MemberFactory() {}

    /** Returns the member that a line of the instance list describes. */
    static ListedMember listed(ListedInstance instance) {
        Member member = new Member(
                instance.id(),
                role(instance.role()),
                instance.zone(),
                instance.host(),
                instance.port(),
                instance.service(),
                instance.version());
        return new ListedMember(member, instance.leaving());
    }

    /** Returns the member at the other end of a link, with the address of the link, if there is one. */
    static Member connected(PeerIdentity peer, Optional<LinkTable.Link> link) {
        Role role = role(peer.role());
        boolean sidecar = role == Role.SIDECAR;
        return new Member(
                peer.instance(),
                role,
                peer.zone(),
                link.map(LinkTable.Link::host).orElse(""),
                link.map(LinkTable.Link::port).orElse(0),
                sidecar ? Optional.of(ServiceName.of(peer.service())) : Optional.empty(),
                sidecar ? Optional.of(VersionName.of(peer.version())) : Optional.empty());
    }

    private static Role role(String name) {
        return name.equals(SIDECAR_ROLE) ? Role.SIDECAR : Role.ENTRY;
    }
}
