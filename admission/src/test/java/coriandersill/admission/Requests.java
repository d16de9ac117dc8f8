package coriandersill.admission;

import coriandersill.core.CallId;
import coriandersill.core.RouteName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;

/** Creates requests for the tests of this package. */
final class Requests {
    static final long FAR_DEADLINE_NANOS = Long.MAX_VALUE / 4;

    private Requests() {}

    static CallId id(int number) {
        return new CallId(0, number);
    }

    static LengthKey key(String workspace) {
        return new LengthKey(VersionName.of("v1"), RouteName.of("chat"), WorkspaceName.of(workspace));
    }

    static AdmissionRequest generation(int number, String workspace, int prompt, int maxTokens) {
        return request(number, workspace, prompt, maxTokens, 0, FAR_DEADLINE_NANOS);
    }

    static AdmissionRequest plain(int number, String workspace) {
        return request(number, workspace, 0, 0, 0, FAR_DEADLINE_NANOS);
    }

    static AdmissionRequest request(
            int number, String workspace, int prompt, int maxTokens, int priority, long deadlineNanos) {
        return new AdmissionRequest(
                id(number),
                1,
                WorkspaceName.of(workspace),
                1,
                RouteName.of("chat"),
                VersionName.of("v1"),
                prompt,
                maxTokens,
                priority,
                deadlineNanos);
    }
}
