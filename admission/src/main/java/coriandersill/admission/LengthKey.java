package coriandersill.admission;

import coriandersill.core.RouteName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;

/**
 * The group of generations whose lengths are expected to be alike.
 *
 * @param version the version that generates
 * @param route the route within the service
 * @param workspace the workspace that asks
 */
public record LengthKey(VersionName version, RouteName route, WorkspaceName workspace) {

    /** Returns the group that {@code request} belongs to. */
    public static LengthKey of(AdmissionRequest request) {
        return new LengthKey(request.version(), request.route(), request.workspace());
    }
}
