package coriandersill.leases;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.Optional;

/**
 * The fence before one engine, which need not check tokens itself: the last check before an order takes effect.
 *
 * <pre>{@code
 * OrderGate gate = OrderGate.of();
 * gate.know(highestTokenInTheStream);
 * gate.admit(order).ifPresentOrElse(this::refuse, () -> engine.apply(order));
 * }</pre>
 *
 * <p>It refuses a token lower than one that it has heard of, from an order or from the stream of leases. After a start
 * it refuses every order until the stream has told it the highest token of its lease. Safe for use by many threads: one
 * lock of rank {@link LockRank#LEASES} guards all fields.
 */
public final class OrderGate {
    private final RankedLock lock = RankedLock.of(LockRank.LEASES);
    private boolean known;
    private long highestToken = Long.MIN_VALUE;

    private OrderGate() {}

    /** Returns a gate that knows no token and lets nothing through. */
    public static OrderGate of() {
        return new OrderGate();
    }

    /**
     * States the highest token of the lease when the stream has been read to its end, or {@link Long#MIN_VALUE} when
     * the lease was never won; from then on orders are let through.
     */
    public void initialize(long token) {
        lock.run(() -> {
            known = true;
            highestToken = Math.max(highestToken, token);
        });
    }

    /** Notes that the lease was won with a token, by which every lower one is refused. */
    public void observe(long token) {
        lock.run(() -> highestToken = Math.max(highestToken, token));
    }

    /** Lets an order through, or returns why it is refused; a refused order has no effect. */
    public Optional<CallFailure> admit(Order order) {
        return lock.with(() -> {
            if (!known) {
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

    /** The highest token heard of, {@link Long#MIN_VALUE} when there is none. */
    public long highestToken() {
        return lock.with(() -> highestToken);
    }
}
