package coriandersill.rollout;

import coriandersill.core.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tells operators' orders apart, also after the log was restored from an older copy and orders that it had lost were
 * written again at other positions.
 *
 * <p>Within an era each position is an order of its own. In a later era the newest known order comes first: it is in
 * the copy, or it is written again, before anything that is ordered anew. Until it has been read there, what asks for
 * the same as a known order is that order. Not thread-safe.
 */
public final class OrderLedger {
    /** Earlier orders of a service that are remembered; a copy is some seconds old. */
    private static final int MAX_EARLIER_ORDERS = 16;

    private final Map<ServiceName, Known> newestOrders = new HashMap<>();

    /** What an order that was read is. */
    public enum Recognition {
        /** One that was not known. */
        NEW,
        /** The newest known one, read again in a later era. */
        READ_AGAIN,
        /** The newest known one, at the position where it was read last. */
        KNOWN,
        /** One that the newest known one has replaced. */
        REPLACED
    }

    /** The newest order of a service, and those that it replaced. */
    private static final class Known {
        private final RolloutOrder order;
        private final List<RolloutOrder> earlier;
        private final Set<Long> positions = new HashSet<>();
        private RolloutId id;
        private long lastPosition;

        private Known(RolloutOrder order, List<RolloutOrder> earlier) {
            this.order = order;
            this.earlier = earlier;
            this.id = order.id();
            readAt(order.id().declarationPosition());
        }

        private void readAt(long position) {
            positions.add(position);
            lastPosition = position;
        }
    }

    private OrderLedger() {}

    /** Returns a ledger without orders. */
    public static OrderLedger create() {
        return new OrderLedger();
    }

    /** Records an order, whose identifier has the position at which it was read; returns what it is. */
    public Recognition read(RolloutOrder order) {
        Known newest = newestOrders.get(order.id().service());
        Recognition recognition = newest == null ? Recognition.NEW : recognize(order, newest);
        if (recognition == Recognition.NEW) {
            newestOrders.put(order.id().service(), new Known(order, earlierOrders(newest)));
        } else if (recognition == Recognition.READ_AGAIN) {
            newest.readAt(order.id().declarationPosition());
        }
        return recognition;
    }

    private static Recognition recognize(RolloutOrder order, Known newest) {
        long position = order.id().declarationPosition();
        if (position <= newest.lastPosition) {
            return position == newest.lastPosition ? Recognition.KNOWN : Recognition.REPLACED;
        }
        if (DeclarationPosition.era(position) == DeclarationPosition.era(newest.lastPosition)) {
            return Recognition.NEW;
        }
        if (order.asksForSameAs(newest.order)) {
            return Recognition.READ_AGAIN;
        }
        return newest.earlier.stream().anyMatch(order::asksForSameAs) ? Recognition.REPLACED : Recognition.NEW;
    }

    private static List<RolloutOrder> earlierOrders(Known replaced) {
        if (replaced == null) {
            return List.of();
        }
        List<RolloutOrder> orders = new ArrayList<>(replaced.earlier);
        orders.add(replaced.order);
        return orders.subList(Math.max(0, orders.size() - MAX_EARLIER_ORDERS), orders.size());
    }

    /** Returns the identifier of a service's newest rollout by which processes speak of it. */
    public Optional<RolloutId> newest(ServiceName service) {
        return Optional.ofNullable(newestOrders.get(service)).map(known -> known.id);
    }

    /**
     * Returns the position at which the newest order of a service was read last.
     *
     * @throws IllegalArgumentException if no order of the service is known
     */
    public long lastPosition(ServiceName service) {
        Known known = newestOrders.get(service);
        if (known == null) {
            throw new IllegalArgumentException("service: expected one with an order, found " + service);
        }
        return known.lastPosition;
    }

    /** Returns whether an identifier is one of the newest rollout of its service. */
    public boolean isNewest(RolloutId id) {
        Known known = newestOrders.get(id.service());
        return known != null && known.positions.contains(id.declarationPosition());
    }

    /**
     * Returns whether a statement is on the newest rollout of its service. If the process that made it has known the
     * rollout for longer, its identifier is used from now on.
     */
    public boolean adopt(RolloutStatement statement) {
        Known known = newestOrders.get(statement.rollout().service());
        if (known == null || !statement.isOn(known.order.target(), known.positions, known.lastPosition)) {
            return false;
        }
        known.positions.add(statement.rollout().declarationPosition());
        if (statement.rollout().declarationPosition() < known.id.declarationPosition()) {
            known.id = statement.rollout();
        }
        return true;
    }
}
