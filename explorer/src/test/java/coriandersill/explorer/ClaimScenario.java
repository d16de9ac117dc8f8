package coriandersill.explorer;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.InstanceId;
import coriandersill.core.Ran;
import coriandersill.core.WorkspaceName;
import coriandersill.idempotency.ClaimKey;
import coriandersill.idempotency.Dispatch;
import coriandersill.idempotency.DispatchGate;
import coriandersill.idempotency.Fingerprint;
import coriandersill.idempotency.GateStamp;
import coriandersill.idempotency.HeldClaim;
import coriandersill.idempotency.IdempotencyKey;
import coriandersill.idempotency.log.ClaimRequest;
import coriandersill.idempotency.log.ClaimResult;
import coriandersill.idempotency.log.ClaimService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Callers send several calls with each of two idempotency keys through three entries and two sidecars, under pauses,
 * restarts, message loss and log outages.
 */
final class ClaimScenario implements Scenario {
    /** A deliberately injected bug, which the checks must detect. */
    enum InjectedBug {
        NONE,
        /** An entry that cannot tell the state of a claim takes the claim over. */
        TAKES_OVER_CLAIMS,
        /** The gate does not record abandoned attempts, so an abandoned dispatch that arrives late still runs. */
        FORGETS_ABANDONED_ATTEMPTS,
        /** The gate does not check the stamp, so it admits dispatches that are too old or meant for a previous gate. */
        IGNORES_STAMP,
        /** An entry that receives no response reports to its caller that the call did not run. */
        REPORTS_TIMEOUT_AS_NOT_RUN
    }

    /** The period in which the calls are sent and the failures injected; the run lasts twice as long. */
    private static final Duration ACTIVE_PERIOD = Duration.ofSeconds(20);

    private static final Duration CLAIM_LIFETIME = Duration.ofSeconds(10);
    private static final Duration DISPATCH_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_ATTEMPTS = 3;
    private static final Duration MAX_STAMP_AGE = Duration.ofSeconds(5);
    private static final int MAX_TOKENS_KEPT_BY_GATE = 100;

    private final InjectedBug injectedBug;
    private int totalKeysRun;
    private int totalReplays;

    ClaimScenario(InjectedBug injectedBug) {
        this.injectedBug = injectedBug;
    }

    int totalKeysRun() {
        return totalKeysRun;
    }

    int totalReplays() {
        return totalReplays;
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

    /** Returns the later of two stamps of the same sidecar process, which have the same epoch. */
    private static GateStamp later(GateStamp first, GateStamp second) {
        return first.elapsedMillis() > second.elapsedMillis() ? first : second;
    }

    private final class Run {
        private final Simulation simulation;
        private final Entry[] entries = new Entry[3];
        private final Sidecar[] sidecars = new Sidecar[2];
        private final Map<ClaimKey, Integer> executions = new HashMap<>();
        private final Set<Integer> executedCalls = new HashSet<>();
        private final Set<Integer> callsReportedNotRun = new HashSet<>();
        private int callCount;
        private int replaysWithoutExecution;

        private Run(Simulation simulation) {
            this.simulation = simulation;
        }

        private void run() {
            for (int i = 0; i < sidecars.length; i++) {
                sidecars[i] = new Sidecar(i);
            }
            for (int i = 0; i < entries.length; i++) {
                entries[i] = new Entry(i);
            }
            for (int i = 0; i < 2; i++) {
                ClaimKey key = ClaimKey.of(
                        WorkspaceName.of("criers"),
                        IdempotencyKey.generate(simulation.clock().instant(), simulation.random()));
                for (int callOfKey = 0; callOfKey < 3; callOfKey++) {
                    simulation.schedule(simulation.randomDuration(ACTIVE_PERIOD), () -> randomEntry()
                            .call(key, ++callCount));
                }
            }
            for (int i = 0; i < 4; i++) {
                simulation.schedule(simulation.randomDuration(ACTIVE_PERIOD), this::injectFailure);
            }
            simulation.run(ACTIVE_PERIOD.multipliedBy(2));
            executions.forEach(
                    (key, count) -> check(count == 1, "key " + key + ": expected one execution, found " + count));
            check(
                    replaysWithoutExecution == 0,
                    "outcomes replayed for keys that never ran: " + replaysWithoutExecution);
            executedCalls.retainAll(callsReportedNotRun);
            check(executedCalls.isEmpty(), "calls that were reported as not run have run: " + executedCalls);
            totalKeysRun += executions.size();
        }

        private void injectFailure() {
            int index = simulation.random().nextInt(sidecars.length);
            switch (simulation.random().nextInt(5)) {
                case 0 -> randomEntry().process.pause(simulation.randomDuration(CLAIM_LIFETIME.multipliedBy(2)));
                case 1 -> randomEntry().restart();
                case 2 -> {
                    sidecars[index].process.crash();
                    sidecars[index] = new Sidecar(index);
                }
                case 3 -> sidecars[index].process.pause(simulation.randomDuration(CLAIM_LIFETIME));
                default -> simulation.log().startOutage(simulation.randomDuration(CLAIM_LIFETIME));
            }
        }

        private Entry randomEntry() {
            return entries[simulation.random().nextInt(entries.length)];
        }

        private final class Sidecar {
            private final int index;
            private final SimulatedProcess process = simulation.startProcess("sidecar");
            private final DispatchGate gate =
                    DispatchGate.of(simulation.clock(), simulation.random(), MAX_STAMP_AGE, MAX_TOKENS_KEPT_BY_GATE);

            private Sidecar(int index) {
                this.index = index;
                simulation.schedule(Duration.ZERO, () -> process.run(this::sendStamps));
            }

            /**
             * Sends to the sidecar that has this index on arrival: a message in flight across a restart reaches the new
             * one.
             */
            private void sendToCurrent(Consumer<Sidecar> message) {
                simulation.deliver(() -> {
                    Sidecar receiver = sidecars[index];
                    receiver.process.run(() -> message.accept(receiver));
                });
            }

            private void sendStamps() {
                GateStamp stamp = gate.stamp();
                for (Entry entry : entries) {
                    simulation.send(entry.process, () -> entry.stamps.merge(this, stamp, ClaimScenario::later));
                }
                simulation.schedule(Duration.ofSeconds(1), () -> process.run(this::sendStamps));
            }

            private void dispatch(
                    Dispatch sent, int callNumber, SimulatedProcess sender, CompletableFuture<Ran> result) {
                Dispatch dispatch = injectedBug == InjectedBug.IGNORES_STAMP
                        ? new Dispatch(sent.key(), sent.token(), sent.call(), sent.attempt(), gate.stamp())
                        : sent;
                Ran ran = gate.admit(dispatch).map(CallFailure::ran).orElse(Ran.YES);
                if (ran == Ran.YES) {
                    executions.merge(dispatch.key(), 1, Integer::sum);
                    executedCalls.add(callNumber);
                }
                simulation.send(sender, () -> result.complete(ran));
            }

            private void abandon(Dispatch dispatch, SimulatedProcess sender, CompletableFuture<Ran> result) {
                boolean skipsRecording = injectedBug == InjectedBug.FORGETS_ABANDONED_ATTEMPTS;
                boolean notRun = skipsRecording || gate.abandon(dispatch) == DispatchGate.AbandonResult.NOT_RUN;
                simulation.send(sender, () -> result.complete(notRun ? Ran.NO : Ran.UNKNOWN));
            }
        }

        private final class Entry {
            private final int index;
            private final SimulatedProcess process;
            private final ClaimService claims;
            private final Map<Sidecar, GateStamp> stamps = new HashMap<>();

            private Entry(int index) {
                this.index = index;
                this.process = simulation.startProcess("entry-" + index);
                InstanceId id = InstanceId.of(process.name());
                long incarnation = simulation.clock().nanos();
                this.claims = ClaimService.builder(process.logClient(), process.scheduler(), id, incarnation)
                        .clock(simulation.clock())
                        .wallClock(simulation.clock())
                        .random(simulation.random())
                        .build();
                CompletableFuture<Void> unused = claims.start();
            }

            private void restart() {
                process.crash();
                entries[index] = new Entry(index);
            }

            private void call(ClaimKey key, int callNumber) {
                ClaimRequest request = new ClaimRequest(key, new Fingerprint(1), CLAIM_LIFETIME);
                process.run(() -> {
                    CompletableFuture<Void> unused =
                            claims.claim(request).thenAccept(result -> handleClaimResult(request, callNumber, result));
                });
            }

            private void handleClaimResult(ClaimRequest request, int callNumber, ClaimResult result) {
                if (result instanceof ClaimResult.Won won) {
                    dispatch(won.claim(), callNumber, 1);
                } else if (result instanceof ClaimResult.Refused refused
                        && refused.failure().ran() == Ran.NO) {
                    callsReportedNotRun.add(callNumber);
                } else if (result instanceof ClaimResult.Replayed) {
                    replaysWithoutExecution += executions.containsKey(request.key()) ? 0 : 1;
                    totalReplays++;
                } else if (injectedBug == InjectedBug.TAKES_OVER_CLAIMS && result instanceof ClaimResult.Unknown) {
                    long expiresAtNanos = simulation.clock().nanos() + CLAIM_LIFETIME.toNanos();
                    CallId id = CallId.random(simulation.random());
                    // The log has not assigned this token, because the entry does not hold the claim.
                    dispatch(new HeldClaim(request.key(), 1_000_000 + callNumber, id, expiresAtNanos), callNumber, 1);
                }
            }

            private void dispatch(HeldClaim claim, int callNumber, int attempt) {
                List<Sidecar> sidecarsWithStamp = new ArrayList<>(List.of(sidecars));
                sidecarsWithStamp.retainAll(stamps.keySet());
                if (sidecarsWithStamp.isEmpty() || attempt > MAX_ATTEMPTS) {
                    release(claim, callNumber);
                    return;
                }
                Sidecar sidecar = sidecarsWithStamp.get(simulation.random().nextInt(sidecarsWithStamp.size()));
                Dispatch dispatch;
                try {
                    dispatch = claim.dispatch(stamps.get(sidecar), attempt, simulation.clock());
                } catch (CallFailure tooLate) {
                    release(claim, callNumber);
                    return;
                }
                CompletableFuture<Ran> result = new CompletableFuture<>();
                sidecar.sendToCurrent(receiver -> receiver.dispatch(dispatch, callNumber, process, result));
                process.scheduler().schedule(DISPATCH_TIMEOUT, () -> abandon(sidecar, dispatch, result));
                CompletableFuture<Void> unused =
                        result.thenAccept(ran -> handleDispatchResult(claim, callNumber, attempt, ran));
            }

            private void abandon(Sidecar sidecar, Dispatch dispatch, CompletableFuture<Ran> result) {
                if (!result.isDone()) {
                    sidecar.sendToCurrent(receiver -> receiver.abandon(dispatch, process, result));
                    Ran timeoutResult = injectedBug == InjectedBug.REPORTS_TIMEOUT_AS_NOT_RUN ? Ran.NO : Ran.UNKNOWN;
                    process.scheduler().schedule(DISPATCH_TIMEOUT, () -> result.complete(timeoutResult));
                }
            }

            private void handleDispatchResult(HeldClaim claim, int callNumber, int attempt, Ran ran) {
                if (ran == Ran.NO) {
                    dispatch(claim, callNumber, attempt + 1);
                } else if (ran == Ran.YES) {
                    CompletableFuture<Boolean> unused = claims.complete(claim, 200, "", new byte[0]);
                }
            }

            private void release(HeldClaim claim, int callNumber) {
                CompletableFuture<Boolean> unused = claims.release(claim);
                callsReportedNotRun.add(callNumber);
            }
        }
    }
}
