package coriandersill.responses;

import java.util.ArrayList;
import java.util.List;

/**
 * All orders to stop runs of one call, with what is known of each. They outlive the moves that gave them.
 *
 * <p>Immutable: {@link #ordered} and {@link #settled} return a changed copy.
 *
 * @param orders the orders, in the sequence in which they were given
 */
public record StopOrders(List<StopOrder> orders) {
    /** No order. */
    public static final StopOrders NONE = new StopOrders(List.of());

    /**
     * Copies the list.
     *
     * @throws NullPointerException if the list or an order is null
     */
    public StopOrders {
        orders = List.copyOf(orders);
    }

    /** Returns the orders and a new one to stop {@code run}, which is {@link #last}. */
    public StopOrders ordered(GenerationRun run) {
        List<StopOrder> changed = new ArrayList<>(orders);
        changed.add(new StopOrder(orders.size() + 1, run, StopOrder.State.PENDING));
        return new StopOrders(changed);
    }

    /**
     * Returns the orders with what became of one.
     *
     * @throws IndexOutOfBoundsException if there is no order of that number
     */
    public StopOrders settled(int number, StopOrder.State state) {
        List<StopOrder> changed = new ArrayList<>(orders);
        changed.set(number - 1, changed.get(number - 1).with(state));
        return new StopOrders(changed);
    }

    /** Returns the number of the last order, 0 if there is none. */
    public int last() {
        return orders.size();
    }

    /** Returns whether there is no order. */
    public boolean isEmpty() {
        return orders.isEmpty();
    }

    /** Returns the orders up to a number, those that had been given when the last of them was. */
    public StopOrders upTo(int number) {
        return new StopOrders(orders.subList(0, Math.min(number, orders.size())));
    }

    /** Returns what the orders say about the end of {@code run}. */
    public StopEvidence evidenceFor(GenerationRun run) {
        List<StopOrder> possible =
                orders.stream().filter(order -> order.mayHaveStopped(run)).toList();
        if (possible.isEmpty()) {
            return StopEvidence.NONE;
        }
        boolean undecided = possible.stream().allMatch(order -> order.state() == StopOrder.State.PENDING);
        return undecided ? StopEvidence.UNDECIDED : StopEvidence.POSSIBLE;
    }
}
