package coriandersill.leases;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.Optional;

/**
 * Checks the fencing tokens of orders on behalf of one engine, as the last check before an order takes effect.
 *
 * <pre>{@code
 * OrderGate gate = OrderGate.of();
 * gate.initialize(highestTokenInStream);
 * gate.admit(order).ifPresentOrElse(this::refuse, () -> engine.apply(order));
 * }</pre>
 *
 * <p>An order is refused if its token is lower than one seen in an earlier order or in the leases stream. After a
 * start, every order is refused until the highest token of the lease has been read from the stream. Thread-safe: a lock
 * of rank {@link LockRank#LEASES} guards all fields.
 */
public final class OrderGate {
    private final RankedLock lock = RankedLock.of(LockRank.LEASES);
    private boolean initialized;
    private long highestToken = Long.MIN_VALUE;

    private OrderGate() {}

    /** Returns a gate that refuses every order until it is initialized. */
    public static OrderGate of() {
        return new OrderGate();
    }

    /**
     * Sets the highest token of the lease after the stream has been read to its end, or {@link Long#MIN_VALUE} if the
     * lease was never acquired. From then on, orders may be admitted.
     */
    public void initialize(long token) {
        lock.run(() -> {
            initialized = true;
            highestToken = Math.max(highestToken, token);
        });
    }

    /** Records the token of a newly acquired lease; lower tokens are refused from then on. */
    public void observe(long token) {
        lock.run(() -> highestToken = Math.max(highestToken, token));
    }

    /** Returns empty if the order is admitted, otherwise the reason for the refusal; a refused order has no effect. */
    public Optional<CallFailure> admit(Order order) {
        return lock.with(() -> {
            if (!initialized) {
                return Optional.of(CallFailure.of(
                        ErrorKind.UNAVAILABLE, "this sidecar does not know the highest fencing token yet"));
            }
            if (order.token() < highestToken) {
                return Optional.of(CallFailure.of(
                        ErrorKind.FENCED, "fencing token " + order.token() + " is older than " + highestToken));
            }
            highestToken = order.token();
            return Optional.empty();
        });
    }

    /** The highest token seen so far; {@link Long#MIN_VALUE} if there is none. */
    public long highestToken() {
        return lock.with(() -> highestToken);
    }
}
