package coriandersill.experiment;

import coriandersill.upstreams.UpstreamStatement;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Decides for how long an entry sends no request to a worker that asked for none. */
interface QuietTimePolicy {
    /** Sends requests on. */
    QuietTimePolicy IGNORE = (statement, random) -> Optional.empty();

    /** Obeys to the end that the worker stated. */
    QuietTimePolicy UNTIL_THE_END = (statement, random) -> statement.quietTime();

    /** Obeys to a random moment soon after the end, as entries do. */
    QuietTimePolicy SPREAD =
            (statement, random) -> statement.quietTime().map(time -> UpstreamStatement.spread(time, random));

    /** Returns how long the worker gets no request; empty if it gets some at once. */
    Optional<Duration> obeyedTime(UpstreamStatement statement, RandomGenerator random);
}
