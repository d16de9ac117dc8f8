package coriandersill.upstreams;

import coriandersill.core.InstanceId;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What incarnations of upstreams said of themselves in their responses: that they leave, and until when they want no
 * request. It outlives their listings, and says nothing of another incarnation. Bounded: the oldest statements are
 * forgotten first. An incarnation is told by its start or by any other number that differs between incarnations. Not
 * thread-safe.
 */
public final class UpstreamStatements {
    private static final int MAX_STATEMENTS = 8_192;

    private final Map<Incarnation, Statement> statements = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Incarnation, Statement> eldest) {
            return size() > MAX_STATEMENTS;
        }
    };

    /**
     * One process of an upstream.
     *
     * @param startedAtMillis its start, which tells incarnations of an instance apart
     */
    private record Incarnation(InstanceId instance, long startedAtMillis) {}

    /**
     * What one incarnation said.
     *
     * @param leaving whether it said that it leaves
     * @param quietUntilNanos until when it wants no request; empty if it never asked for that
     */
    private record Statement(boolean leaving, Optional<Long> quietUntilNanos) {}

    /** Records that an incarnation said that it leaves; returns whether that is new. */
    public boolean addLeaving(InstanceId instance, long startedAtMillis) {
        Optional<Statement> known = of(instance, startedAtMillis);
        put(instance, startedAtMillis, new Statement(true, known.flatMap(Statement::quietUntilNanos)));
        return known.filter(Statement::leaving).isEmpty();
    }

    /** Records that an incarnation wants no request until then; the latest of several ends holds. */
    public void addQuietTime(InstanceId instance, long startedAtMillis, long untilNanos) {
        Optional<Statement> known = of(instance, startedAtMillis);
        long latest = known.flatMap(Statement::quietUntilNanos)
                .filter(previous -> previous - untilNanos > 0)
                .orElse(untilNanos);
        boolean leaving = known.filter(Statement::leaving).isPresent();
        put(instance, startedAtMillis, new Statement(leaving, Optional.of(latest)));
    }

    /** Returns whether this incarnation said that it leaves. */
    public boolean saysLeaving(InstanceId instance, long startedAtMillis) {
        return of(instance, startedAtMillis).filter(Statement::leaving).isPresent();
    }

    /** Returns how much longer this incarnation wants no request; zero if it accepts some. */
    public Duration quietTime(InstanceId instance, long startedAtMillis, long nowNanos) {
        return of(instance, startedAtMillis)
                .flatMap(Statement::quietUntilNanos)
                .filter(until -> until - nowNanos > 0)
                .map(until -> Duration.ofNanos(until - nowNanos))
                .orElse(Duration.ZERO);
    }

    private void put(InstanceId instance, long startedAtMillis, Statement statement) {
        statements.put(new Incarnation(instance, startedAtMillis), statement);
    }

    private Optional<Statement> of(InstanceId instance, long startedAtMillis) {
        return Optional.ofNullable(statements.get(new Incarnation(instance, startedAtMillis)));
    }
}
