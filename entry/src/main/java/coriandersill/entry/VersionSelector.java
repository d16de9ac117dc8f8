package coriandersill.entry;

import coriandersill.configuration.ServiceDocument;
import coriandersill.core.VersionName;

/** Selects the version of a service that serves a call. */
@FunctionalInterface
public interface VersionSelector {

    /**
     * Returns the version for a call with the given hash of its session or prompt prefix, or of its workspace for a
     * plain call.
     */
    VersionName select(ServiceDocument service, long affinityHash);

    /** Returns a selector of each service's current version. */
    static VersionSelector current() {
        return (service, affinityHash) -> service.current();
    }
}
