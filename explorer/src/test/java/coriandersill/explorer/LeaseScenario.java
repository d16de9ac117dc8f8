package coriandersill.explorer;

import coriandersill.core.InstanceId;
import coriandersill.leases.LeaseHolder;
import coriandersill.leases.LeaseName;
import coriandersill.leases.Order;
import coriandersill.leases.OrderGate;
import coriandersill.leases.log.LeaseService;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Two entries seek one lease and give orders to an engine that checks nothing, through a sidecar that restarts. */
final class LeaseScenario implements Scenario {
    /** A decision that is taken wrongly on purpose, to show that the checks can fail. */
    enum Fault {
        NONE,
        /** The sidecar passes every order on. */
        NO_FENCE,
        /** A restarted sidecar passes orders on before it knows the highest token. */
        OPEN_AFTER_RESTART,
        /** A holder gives orders until the term ends by its own clock from when it read that it had won. */
        COUNTS_FROM_READING
    }

    private static final LeaseName NAME = LeaseName.of("rollout/scribe");
    private static final Duration TERM = Duration.ofSeconds(4);
    private static final Duration HORIZON = Duration.ofSeconds(20);

    private final Fault fault;
    private int totalOrders;
    private int totalTakeovers;

    LeaseScenario(Fault fault) {
        this.fault = fault;
    }

    int totalOrders() {
        return totalOrders;
    }

    int totalTakeovers() {
        return totalTakeovers;
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
        private long effective = Long.MIN_VALUE;

        private Run(Simulation simulation) {
            this.simulation = simulation;
        }

        private void run() {
            sidecar = new Sidecar();
            for (int i = 0; i < entries.length; i++) {
                entries[i] = new Entry(i);
            }
            for (int i = 0; i < 4; i++) {
                simulation.after(simulation.upTo(HORIZON), this::fail);
            }
            for (int step = 0; step < 100; step++) {
                simulation.run(Duration.ofMillis(250));
                int holders = 0;
                for (Entry entry : entries) {
                    holders += entry.holds() ? 1 : 0;
                }
                check(holders <= 1, holders + " entries hold the lease by their own clocks");
            }
        }

        private void fail() {
            int index = simulation.random().nextInt(entries.length);
            switch (simulation.random().nextInt(4)) {
                case 0 -> entries[index].process.pause(simulation.upTo(TERM.multipliedBy(2)));
                case 1 -> {
                    entries[index].process.die();
                    entries[index] = new Entry(index);
                }
                case 2 -> {
                    sidecar.process.die();
                    sidecar = new Sidecar();
                }
                default -> simulation.log().outage(simulation.upTo(TERM.multipliedBy(2)));
            }
        }

        private void takeEffect(long token) {
            check(token >= effective, "an order with token " + token + " took effect after one with " + effective);
            totalOrders++;
            totalTakeovers += token > effective ? 1 : 0;
            effective = token;
        }

        private final class Sidecar {
            private final SimulatedProcess process = simulation.process("sidecar");
            private final OrderGate gate = OrderGate.of();

            private Sidecar() {
                LeaseService tokens = LeaseService.builder(process.log(), process.scheduler(), holder("sidecar"))
                        .clock(simulation.clock())
                        .wallClock(simulation.clock())
                        .random(simulation.random())
                        .term(TERM, TERM.dividedBy(4))
                        .tokenListener((name, token) -> gate.observe(token))
                        .build();
                CompletableFuture<Void> unused = tokens.start().thenRun(() -> gate.initialize(gate.highestToken()));
                if (fault == Fault.OPEN_AFTER_RESTART) {
                    gate.initialize(Long.MIN_VALUE);
                }
            }

            private void order(Order order) {
                if (fault == Fault.NO_FENCE || gate.admit(order).isEmpty()) {
                    takeEffect(order.token());
                }
            }
        }

        private final class Entry {
            private final SimulatedProcess process;
            private final LeaseService leases;
            private long readNanos;

            private Entry(int index) {
                this.process = simulation.process("entry-" + index);
                this.leases = LeaseService.builder(process.log(), process.scheduler(), holder(process.name()))
                        .clock(simulation.clock())
                        .wallClock(simulation.clock())
                        .random(simulation.random())
                        .term(TERM, TERM.dividedBy(4))
                        .build();
                leases.campaign(NAME);
                CompletableFuture<Void> unused = leases.start();
                order();
            }

            private void order() {
                leases.held(NAME).ifPresent(lease -> {
                    readNanos = simulation.clock().nanos();
                    Order order = new Order.LoadVersion(lease.token(), "v2");
                    simulation.deliver(() -> {
                        Sidecar receiver = sidecar;
                        receiver.process.run(() -> receiver.order(order));
                    });
                });
                process.scheduler().schedule(Duration.ofMillis(700), this::order);
            }

            private boolean holds() {
                boolean late = fault == Fault.COUNTS_FROM_READING
                        && readNanos > 0
                        && simulation.clock().nanos() - readNanos < TERM.toNanos();
                return !process.dead() && (late || leases.held(NAME).isPresent());
            }
        }

        private LeaseHolder holder(String name) {
            return new LeaseHolder(InstanceId.of(name), simulation.clock().nanos());
        }
    }
}
