package coriandersill.explorer;

import coriandersill.core.InstanceId;
import coriandersill.leases.LeaseHolder;
import coriandersill.leases.LeaseName;
import coriandersill.leases.Order;
import coriandersill.leases.OrderGate;
import coriandersill.leases.log.LeaseService;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Two entries compete for one lease and send orders through a sidecar that may restart; the engine behind it checks
 * nothing, so only the sidecar's gate rejects outdated orders.
 */
final class LeaseScenario implements Scenario {
    /** A deliberately injected bug, which the checks must detect. */
    enum InjectedBug {
        NONE,
        /** The sidecar admits every order, whatever its token. */
        SKIPS_FENCING,
        /** A restarted sidecar admits orders before it has read the highest token from the log. */
        ADMITS_BEFORE_INITIALIZATION,
        /**
         * A holder counts the term from when it last read locally that it holds the lease, not from when it requested
         * the lease.
         */
        COUNTS_TERM_FROM_READ
    }

    private static final LeaseName LEASE_NAME = LeaseName.of("rollout/scribe");
    private static final Duration TERM = Duration.ofSeconds(4);
    /** The period in which the failures are injected; the run lasts {@link #CHECKS} intervals, 25 s in total. */
    private static final Duration FAILURE_PERIOD = Duration.ofSeconds(20);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);
    private static final int CHECKS = 100;
    private static final Duration ORDER_INTERVAL = Duration.ofMillis(700);

    private final InjectedBug injectedBug;
    private int totalOrders;
    /** The number of tokens under which orders took effect, over all runs; includes that of each run's first holder. */
    private int totalTokens;

    LeaseScenario(InjectedBug injectedBug) {
        this.injectedBug = injectedBug;
    }

    int totalOrders() {
        return totalOrders;
    }

    int totalTokens() {
        return totalTokens;
    }

    @Override
    public void run(Simulation simulation) {
        new Run(simulation).run();
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }

    private final class Run {
        private final Simulation simulation;
        private final Entry[] entries = new Entry[2];
        private Sidecar sidecar;
        private long highestToken = Long.MIN_VALUE;

        private Run(Simulation simulation) {
            this.simulation = simulation;
        }

        private void run() {
            sidecar = new Sidecar();
            for (int i = 0; i < entries.length; i++) {
                entries[i] = new Entry(i);
            }
            for (int i = 0; i < 4; i++) {
                simulation.schedule(simulation.randomDuration(FAILURE_PERIOD), this::injectFailure);
            }
            for (int step = 0; step < CHECKS; step++) {
                simulation.run(CHECK_INTERVAL);
                int holders = 0;
                for (Entry entry : entries) {
                    holders += entry.holds() ? 1 : 0;
                }
                check(holders <= 1, holders + " entries hold the lease at the same time, according to their own state");
            }
        }

        private void injectFailure() {
            int index = simulation.random().nextInt(entries.length);
            switch (simulation.random().nextInt(4)) {
                case 0 -> entries[index].process.pause(simulation.randomDuration(TERM.multipliedBy(2)));
                case 1 -> {
                    entries[index].process.crash();
                    entries[index] = new Entry(index);
                }
                case 2 -> {
                    sidecar.process.crash();
                    sidecar = new Sidecar();
                }
                default -> simulation.log().startOutage(simulation.randomDuration(TERM.multipliedBy(2)));
            }
        }

        private void recordEffect(long token) {
            check(
                    token >= highestToken,
                    "an order took effect: expected token " + highestToken + " or higher, found " + token);
            totalOrders++;
            totalTokens += token > highestToken ? 1 : 0;
            highestToken = token;
        }

        private final class Sidecar {
            private final SimulatedProcess process = simulation.startProcess("sidecar");
            private final OrderGate gate = OrderGate.of();

            private Sidecar() {
                LeaseService leases = LeaseService.builder(process.logClient(), process.scheduler(), holder("sidecar"))
                        .clock(simulation.clock())
                        .wallClock(simulation.clock())
                        .random(simulation.random())
                        .term(TERM, TERM.dividedBy(4))
                        .tokenListener((name, token) -> gate.observe(token))
                        .build();
                CompletableFuture<Void> unused = leases.start().thenRun(() -> gate.initialize(gate.highestToken()));
                if (injectedBug == InjectedBug.ADMITS_BEFORE_INITIALIZATION) {
                    gate.initialize(Long.MIN_VALUE);
                }
            }

            private void receive(Order order) {
                if (injectedBug == InjectedBug.SKIPS_FENCING
                        || gate.admit(order).isEmpty()) {
                    recordEffect(order.token());
                }
            }
        }

        private final class Entry {
            private final SimulatedProcess process;
            private final LeaseService leases;
            private long lastHeldAtNanos;

            private Entry(int index) {
                this.process = simulation.startProcess("entry-" + index);
                this.leases = LeaseService.builder(process.logClient(), process.scheduler(), holder(process.name()))
                        .clock(simulation.clock())
                        .wallClock(simulation.clock())
                        .random(simulation.random())
                        .term(TERM, TERM.dividedBy(4))
                        .build();
                leases.campaign(LEASE_NAME);
                CompletableFuture<Void> unused = leases.start();
                sendOrders();
            }

            private void sendOrders() {
                leases.held(LEASE_NAME).ifPresent(lease -> {
                    lastHeldAtNanos = simulation.clock().nanos();
                    Order order = new Order.LoadVersion(lease.token(), "v2");
                    simulation.deliver(() -> {
                        Sidecar receiver = sidecar;
                        receiver.process.run(() -> receiver.receive(order));
                    });
                });
                process.scheduler().schedule(ORDER_INTERVAL, this::sendOrders);
            }

            private boolean holds() {
                boolean withinTermSinceRead = injectedBug == InjectedBug.COUNTS_TERM_FROM_READ
                        && lastHeldAtNanos > 0
                        && simulation.clock().nanos() - lastHeldAtNanos < TERM.toNanos();
                return !process.crashed()
                        && (withinTermSinceRead || leases.held(LEASE_NAME).isPresent());
            }
        }

        private LeaseHolder holder(String name) {
            return new LeaseHolder(InstanceId.of(name), simulation.clock().nanos());
        }
    }
}
