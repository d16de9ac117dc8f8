package coriandersill.configuration;

import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * The declaration of a rollout: traffic of one service goes from one version to another by a deadline.
 *
 * @param service the service
 * @param from the version that serves now
 * @param to the version that shall serve
 * @param deadline when the rollout is to be done
 * @param firstShare the share of traffic at the canary stage, above 0 and at most 1
 * @param probation how long the new version is watched once it has all traffic but a control share
 * @param badness what counts as bad
 */
public record RolloutDocument(
        ServiceName service,
        VersionName from,
        VersionName to,
        Instant deadline,
        double firstShare,
        Duration probation,
        BadnessCriteria badness)
        implements Document {

    /** Refuses null and a share out of range. */
    public RolloutDocument {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(to, "to");
        Objects.requireNonNull(deadline, "deadline");
        Objects.requireNonNull(probation, "probation");
        Objects.requireNonNull(badness, "badness");
        if (!(firstShare > 0 && firstShare <= 1)) {
            throw new IllegalArgumentException("firstShare: expected above 0 and at most 1, found " + firstShare);
        }
    }

    /**
     * What counts as bad, each as a ratio of the new version's figure to the old one's on the same route.
     *
     * @param errorRatio ratio of error rates from which a version is bad, above 1
     * @param firstTokenRatio ratio of times to the first token from which a version is bad, above 1
     * @param betweenTokensRatio ratio of times between tokens from which a version is bad, above 1
     */
    public record BadnessCriteria(double errorRatio, double firstTokenRatio, double betweenTokensRatio) {}

    @Override
    public DocumentName documentName() {
        return DocumentName.of(DocumentKind.ROLLOUT, service.value());
    }
}
