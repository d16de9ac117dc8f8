package coriandersill.admission;

import coriandersill.core.RouteName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;

/**
 * Identifies a group of generations that are expected to have similar lengths.
 *
 * @param version the version that serves the generation
 * @param route the route within the service
 * @param workspace the workspace of the caller
 */
public record LengthKey(VersionName version, RouteName route, WorkspaceName workspace) {

    /** Returns the key of the group that {@code request} belongs to. */
    public static LengthKey of(AdmissionRequest request) {
        return new LengthKey(request.version(), request.route(), request.workspace());
    }
}
