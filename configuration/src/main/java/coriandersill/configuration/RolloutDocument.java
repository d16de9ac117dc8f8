package coriandersill.configuration;

import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * The declaration of a rollout, which shifts the traffic of one service from one version to another by a deadline.
 *
 * @param service the service
 * @param from the version that receives the traffic now
 * @param to the version that is to receive the traffic
 * @param deadline the time by which the rollout must be complete or rolled back
 * @param firstShare the share of traffic in the canary phase, above 0 and at most 1
 * @param probation how long the new version is monitored while it receives all traffic except a control share
 * @param regressionCriteria the thresholds at which the new version counts as bad
 */
public record RolloutDocument(
        ServiceName service,
        VersionName from,
        VersionName to,
        Instant deadline,
        double firstShare,
        Duration probation,
        RegressionCriteria regressionCriteria)
        implements Document {

    /** Rejects null and a first share out of range. */
    public RolloutDocument {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(to, "to");
        Objects.requireNonNull(deadline, "deadline");
        Objects.requireNonNull(probation, "probation");
        Objects.requireNonNull(regressionCriteria, "regressionCriteria");
        if (!(firstShare > 0 && firstShare <= 1)) {
            throw new IllegalArgumentException("firstShare: expected above 0 and at most 1, found " + firstShare);
        }
    }

    /**
     * The thresholds at which a version counts as bad. Each is the ratio of the new version's value to the old
     * version's on the same route.
     *
     * @param errorRatio the ratio of error rates, above 1
     * @param firstTokenRatio the ratio of times to first token, above 1
     * @param betweenTokensRatio the ratio of times between tokens, above 1
     */
    public record RegressionCriteria(double errorRatio, double firstTokenRatio, double betweenTokensRatio) {}

    @Override
    public DocumentName documentName() {
        return DocumentName.of(DocumentKind.ROLLOUT, service.value());
    }
}
