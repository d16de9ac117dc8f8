package coriandersill.idempotency;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.MonotonicClock;
import coriandersill.core.Ran;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * The last check before a non-idempotent call reaches its upstream; it runs in the sidecar next to the upstream.
 *
 * <pre>{@code
 * DispatchGate gate = DispatchGate.of(clock, random, Duration.ofSeconds(5), 100_000);
 * connection.send(ping(gate.stamp()));
 * gate.admit(dispatch).ifPresentOrElse(this::refuse, this::forward);
 * }</pre>
 *
 * <p>A dispatch is admitted if its stamp has this gate's epoch and is not older than the limit, its attempt was not
 * abandoned, and its token was not admitted before and is higher than every evicted one. Only the gate's own clock is
 * used, and a restarted gate has a new epoch, so it admits nothing that was stamped before the restart. Thread-safe: a
 * lock of rank {@link LockRank#IDEMPOTENCY} guards all fields.
 */
public final class DispatchGate {

    /** The result of abandoning an attempt. */
    public enum AbandonResult {
        /** The attempt was not dispatched to the upstream and never will be. */
        NOT_RUN,
        /** The attempt had already been dispatched to the upstream. */
        DISPATCHED,
        /**
         * The gate cannot tell: the attempt's stamp is from before this gate started, or its token is not higher than
         * an evicted one.
         */
        UNKNOWN
    }

    private record Attempt(CallId call, int number) {}

    private record AbandonedAttempt(Attempt attempt, long abandonedAtMillis) {}

    private final RankedLock lock = RankedLock.of(LockRank.IDEMPOTENCY);
    private final MonotonicClock clock;
    private final long startNanos;
    private final long epoch;
    private final long maxStampAgeMillis;
    private final int maxTokens;
    private final TreeSet<Long> admittedTokens = new TreeSet<>();
    private final Map<Long, Attempt> dispatched = new HashMap<>();
    private final Set<Attempt> abandoned = new HashSet<>();
    private final Deque<AbandonedAttempt> abandonedByTime = new ArrayDeque<>();
    private long highestEvictedToken = Long.MIN_VALUE;

    private DispatchGate(MonotonicClock clock, RandomGenerator random, Duration maxStampAge, int maxTokens) {
        this.clock = clock;
        this.startNanos = clock.nanos();
        this.epoch = random.nextLong();
        this.maxStampAgeMillis = maxStampAge.toMillis();
        this.maxTokens = maxTokens;
    }

    /**
     * Returns a gate with a random epoch.
     *
     * @param clock the clock of this process
     * @param random generates the epoch; must produce another value at each start
     * @param maxStampAge the maximum age of a stamp, at least 1 ms
     * @param maxTokens how many admitted tokens are kept, at least 1; beyond that, the lowest is evicted, and it and
     *     every lower token are refused
     */
    public static DispatchGate of(MonotonicClock clock, RandomGenerator random, Duration maxStampAge, int maxTokens) {
        if (maxStampAge.toMillis() < 1 || maxTokens < 1) {
            throw new IllegalArgumentException("maxStampAge, maxTokens: expected at least 1 ms and at least 1, found "
                    + maxStampAge + " and " + maxTokens);
        }
        return new DispatchGate(clock, random, maxStampAge, maxTokens);
    }

    /** Returns a stamp for the current time, to be sent to the entries. */
    public GateStamp stamp() {
        return new GateStamp(epoch, elapsedMillis());
    }

    /**
     * Admits a dispatch at most once; the caller then forwards the call immediately. Otherwise returns the reason for
     * the refusal: this attempt has not run and will not run, except that the failure has {@link Ran#UNKNOWN} if the
     * token was admitted before or is not higher than an evicted one.
     */
    public Optional<CallFailure> admit(Dispatch dispatch) {
        return lock.with(() -> {
            if (dispatch.token() <= highestEvictedToken || dispatched.containsKey(dispatch.token())) {
                String message = "token " + dispatch.token() + " was handed on before";
                return Optional.of(CallFailure.of(ErrorKind.FENCED, message).withRan(Ran.UNKNOWN));
            }
            String refusal = refusal(dispatch);
            if (refusal != null) {
                return Optional.of(CallFailure.of(ErrorKind.FENCED, refusal));
            }
            recordDispatched(dispatch);
            return Optional.empty();
        });
    }

    /**
     * Abandons an attempt, whether or not it has arrived, so that it is not dispatched later. An entry may make another
     * attempt, or report to its caller that the call was not run, only after {@link AbandonResult#NOT_RUN} or a
     * refusal.
     *
     * @return whether the attempt had already been dispatched
     */
    public AbandonResult abandon(Dispatch dispatch) {
        Attempt attempt = new Attempt(dispatch.call(), dispatch.attempt());
        return lock.with(() -> {
            if (dispatch.stamp().epoch() != epoch || dispatch.token() <= highestEvictedToken) {
                return AbandonResult.UNKNOWN;
            }
            if (attempt.equals(dispatched.get(dispatch.token()))) {
                return AbandonResult.DISPATCHED;
            }
            long now = elapsedMillis();
            // The stamp of an attempt was issued before the attempt was abandoned. Attempts that were abandoned longer
            // ago than the maximum stamp age are therefore refused because of the age of their stamps.
            evictAbandonedBefore(now - 2 * maxStampAgeMillis);
            if (abandoned.add(attempt)) {
                abandonedByTime.addLast(new AbandonedAttempt(attempt, now));
            }
            return AbandonResult.NOT_RUN;
        });
    }

    private String refusal(Dispatch dispatch) {
        if (dispatch.stamp().epoch() != epoch) {
            return "the dispatch was stamped before this sidecar started";
        }
        long age = elapsedMillis() - dispatch.stamp().elapsedMillis();
        if (age > maxStampAgeMillis) {
            return "the dispatch's stamp is " + age + " ms old, more than " + maxStampAgeMillis;
        }
        if (abandoned.contains(new Attempt(dispatch.call(), dispatch.attempt()))) {
            return "attempt " + dispatch.attempt() + " was given up by its entry";
        }
        return null;
    }

    private void recordDispatched(Dispatch dispatch) {
        admittedTokens.add(dispatch.token());
        dispatched.put(dispatch.token(), new Attempt(dispatch.call(), dispatch.attempt()));
        if (admittedTokens.size() > maxTokens) {
            highestEvictedToken = admittedTokens.pollFirst();
            dispatched.remove(highestEvictedToken);
        }
    }

    private void evictAbandonedBefore(long millis) {
        while (!abandonedByTime.isEmpty() && abandonedByTime.peekFirst().abandonedAtMillis() < millis) {
            abandoned.remove(abandonedByTime.removeFirst().attempt());
        }
    }

    private long elapsedMillis() {
        return (clock.nanos() - startNanos) / 1_000_000;
    }
}
