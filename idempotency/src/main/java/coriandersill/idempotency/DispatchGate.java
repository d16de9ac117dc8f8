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
 * The last check before a call that may not be repeated reaches its upstream, beside which it runs.
 *
 * <pre>{@code
 * DispatchGate gate = DispatchGate.of(clock, random, Duration.ofSeconds(5), 100_000);
 * connection.send(ping(gate.stamp()));
 * gate.admit(dispatch).ifPresentOrElse(this::refuse, this::handOn);
 * }</pre>
 *
 * <p>It lets a dispatch in when its stamp is of this gate's own epoch and younger than the limit, its attempt was not
 * given up, and its token was not let in before. No clock but its own counts, and a restarted gate, which has a new
 * epoch, lets in nothing that was stamped before. Safe for use by many threads: one lock of rank
 * {@link LockRank#IDEMPOTENCY} guards all fields.
 */
public final class DispatchGate {

    /** What became of an attempt that its entry has given up. */
    public enum AbandonResult {
        /** The attempt was not handed on and never will be. */
        NOT_RUN,
        /** The attempt was handed on before. */
        DISPATCHED,
        /** The attempt may have been handed on before this gate started. */
        UNKNOWN
    }

    private record Attempt(CallId call, int number) {}

    private record GivenUp(Attempt attempt, long atMillis) {}

    private final RankedLock lock = RankedLock.of(LockRank.IDEMPOTENCY);
    private final MonotonicClock clock;
    private final long startNanos;
    private final long epoch;
    private final long stampLimitMillis;
    private final int maxTokens;
    private final TreeSet<Long> tokens = new TreeSet<>();
    private final Map<Long, Attempt> handedOn = new HashMap<>();
    private final Set<Attempt> givenUp = new HashSet<>();
    private final Deque<GivenUp> givenUpByTime = new ArrayDeque<>();
    private long highestForgotten = Long.MIN_VALUE;

    private DispatchGate(MonotonicClock clock, RandomGenerator random, Duration stampLimit, int maxTokens) {
        this.clock = clock;
        this.startNanos = clock.nanos();
        this.epoch = random.nextLong();
        this.stampLimitMillis = stampLimit.toMillis();
        this.maxTokens = maxTokens;
    }

    /**
     * Returns a gate with an epoch drawn from {@code random}.
     *
     * @param clock the clock of this process
     * @param random draws the epoch; must not repeat itself from start to start
     * @param stampLimit how old a stamp may be
     * @param maxTokens how many tokens are remembered; when one is forgotten, every lower one is refused
     */
    public static DispatchGate of(MonotonicClock clock, RandomGenerator random, Duration stampLimit, int maxTokens) {
        if (stampLimit.toMillis() < 1 || maxTokens < 1) {
            throw new IllegalArgumentException(
                    "stampLimit, maxTokens: expected 1 ms and 1 or more, found " + stampLimit + ", " + maxTokens);
        }
        return new DispatchGate(clock, random, stampLimit, maxTokens);
    }

    /** The stamp of now, to be sent to the entries. */
    public GateStamp stamp() {
        return new GateStamp(epoch, elapsedMillis());
    }

    /**
     * Lets a dispatch in, once; the caller hands it on at once. Otherwise returns why it is refused: this attempt has
     * not run and will not, unless the failure says that it is unknown because its token was handed on before.
     */
    public Optional<CallFailure> admit(Dispatch dispatch) {
        return lock.with(() -> {
            if (dispatch.token() <= highestForgotten || handedOn.containsKey(dispatch.token())) {
                String message = "token " + dispatch.token() + " was handed on before";
                return Optional.of(CallFailure.of(ErrorKind.FENCED, message).withRan(Ran.UNKNOWN));
            }
            String refusal = refusal(dispatch);
            if (refusal != null) {
                return Optional.of(CallFailure.of(ErrorKind.FENCED, refusal));
            }
            remember(dispatch);
            return Optional.empty();
        });
    }

    /**
     * Gives an attempt up, whether it has come yet or not, so that it is not handed on later. An entry makes another
     * attempt, or tells its caller "not run", only after {@link AbandonResult#NOT_RUN} or a refusal.
     *
     * @return whether it was handed on before
     */
    public AbandonResult abandon(Dispatch dispatch) {
        Attempt gone = new Attempt(dispatch.call(), dispatch.attempt());
        return lock.with(() -> {
            if (dispatch.stamp().epoch() != epoch || dispatch.token() <= highestForgotten) {
                return AbandonResult.UNKNOWN;
            }
            if (gone.equals(handedOn.get(dispatch.token()))) {
                return AbandonResult.DISPATCHED;
            }
            long now = elapsedMillis();
            forgetGivenUpBefore(now - 2 * stampLimitMillis);
            if (givenUp.add(gone)) {
                givenUpByTime.addLast(new GivenUp(gone, now));
            }
            return AbandonResult.NOT_RUN;
        });
    }

    private String refusal(Dispatch dispatch) {
        if (dispatch.stamp().epoch() != epoch) {
            return "the dispatch was stamped before this sidecar started";
        }
        long age = elapsedMillis() - dispatch.stamp().elapsedMillis();
        if (age > stampLimitMillis) {
            return "the dispatch's stamp is " + age + " ms old, more than " + stampLimitMillis;
        }
        if (givenUp.contains(new Attempt(dispatch.call(), dispatch.attempt()))) {
            return "attempt " + dispatch.attempt() + " was given up by its entry";
        }
        return null;
    }

    private void remember(Dispatch dispatch) {
        tokens.add(dispatch.token());
        handedOn.put(dispatch.token(), new Attempt(dispatch.call(), dispatch.attempt()));
        if (tokens.size() > maxTokens) {
            highestForgotten = tokens.pollFirst();
            handedOn.remove(highestForgotten);
        }
    }

    private void forgetGivenUpBefore(long millis) {
        while (!givenUpByTime.isEmpty() && givenUpByTime.peekFirst().atMillis() < millis) {
            givenUp.remove(givenUpByTime.removeFirst().attempt());
        }
    }

    private long elapsedMillis() {
        return (clock.nanos() - startNanos) / 1_000_000;
    }
}
