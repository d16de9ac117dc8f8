package coriandersill.experiment;

import coriandersill.core.CallFailure;
import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import coriandersill.quota.LocalQuota;
import coriandersill.routing.BudgetedRetry;
import coriandersill.routing.CandidateInfo;
import coriandersill.routing.LoadReport;
import coriandersill.routing.RetryBudget;
import coriandersill.routing.Router;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Simulates a workload on models of entries, sidecars and engines in virtual time. The routing, retry, quota and
 * admission decisions are made by the classes that the daemons use.
 *
 * <pre>{@code
 * RunResult result = Simulation.run(RunSettings.of(Deployment.awaj(), arrivals, 1, warmUp, measured), policies);
 * }</pre>
 */
public final class Simulation {
    /** The time between two checks of a sidecar's queue for requests whose deadline has passed. */
    private static final Duration QUEUE_PROCESSING_INTERVAL = Duration.ofMillis(20);
    /** The concurrency limit that entries assume for a sidecar until its first load report. */
    private static final int ASSUMED_LIMIT = 40;
    /** The fraction of its full traffic share with which an availability zone returns to service. */
    private static final double INITIAL_ZONE_SHARE = 0.05;

    private static final double RETRIES_PER_FIRST_ATTEMPT = 0.1;
    /** Retries that are allowed in addition to {@link #RETRIES_PER_FIRST_ATTEMPT}. */
    private static final int RETRY_BURST = 10;

    private static final int MAX_ATTEMPTS = 3;
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(10);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(100);

    private final RunSettings settings;
    private final PolicySet policies;
    private final Deployment deployment;
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final EventQueue events = new EventQueue(clock);
    private final Recorder recorder;
    private final List<SidecarModel> sidecars = new ArrayList<>();
    private final Map<InstanceId, Integer> sidecarIndexes = new HashMap<>();
    private final List<EntryModel> entries = new ArrayList<>();
    private long warmUpPreemptions;

    private Simulation(RunSettings settings, PolicySet policies) {
        this.settings = settings;
        this.policies = policies;
        this.deployment = settings.deployment();
        this.recorder = new Recorder(settings);
        SplittableRandom random = new SplittableRandom(settings.seed());
        for (int i = 0; i < deployment.engines(); i++) {
            sidecars.add(createSidecar());
            sidecarIndexes.put(deployment.sidecarId(i), i);
        }
        List<CandidateInfo> candidates = deployment.candidates(ASSUMED_LIMIT);
        for (int i = 0; i < deployment.entries(); i++) {
            Router router = Router.builder(clock, random.split())
                    .policy(policies.routing().apply(random.split()))
                    .zoneRamp(policies.zoneRamp(), policies.zoneRamp().isZero() ? 1 : INITIAL_ZONE_SHARE)
                    .build();
            BudgetedRetry retryPolicy = BudgetedRetry.of(
                    RetryBudget.of(RETRIES_PER_FIRST_ATTEMPT, RETRY_BURST),
                    MAX_ATTEMPTS,
                    INITIAL_RETRY_DELAY,
                    MAX_RETRY_DELAY,
                    random.split());
            long maxWait = settings.maxWait().toNanos();
            entries.add(new EntryModel(
                    events,
                    new EntryModel.Policies(router, retryPolicy, createQuota(i)),
                    new EntryModel.Settings(deployment, i, maxWait, candidates),
                    new EntryHandler()));
        }
    }

    /** Runs the simulation until every call that arrives in the measured period has ended. */
    public static RunResult run(RunSettings settings, PolicySet policies) {
        return new Simulation(settings, policies).run(policies.name());
    }

    private RunResult run(String policySetName) {
        for (Arrival arrival : settings.arrivals()) {
            events.schedule(
                    arrival.timeNanos(), () -> entries.get(arrival.entry()).arrived(new Call(arrival)));
        }
        for (Fault fault : settings.faults()) {
            events.schedule(fault.time().toNanos(), () -> apply(fault));
        }
        events.schedule(settings.warmUp().toNanos(), () -> warmUpPreemptions = preemptions());
        for (int i = 0; i < sidecars.size(); i++) {
            processQueuePeriodically(sidecars.get(i));
            reportPeriodically(i);
        }
        while (recorder.openCalls() > 0) {
            if (!events.runNext()) {
                throw new IllegalStateException("simulation of " + policySetName + " with seed " + settings.seed()
                        + ": expected all calls of the measured period to end, found "
                        + recorder.openCalls() + " open calls and no further event");
            }
        }
        long coldViolations = sidecars.stream()
                .mapToLong(sidecar -> sidecar.engine().coldViolations())
                .sum();
        return recorder.result(policySetName, preemptions() - warmUpPreemptions, coldViolations);
    }

    private EntryModel entry(Call call) {
        return entries.get(call.arrival.entry());
    }

    private long delayNanos(Call call) {
        return deployment.delayNanos(call.arrival.entry(), sidecarIndexes.get(call.instance));
    }

    private void processQueuePeriodically(SidecarModel sidecar) {
        sidecar.processQueue();
        events.schedule(QUEUE_PROCESSING_INTERVAL.toNanos(), () -> processQueuePeriodically(sidecar));
    }

    private void reportPeriodically(int index) {
        LoadReport report = sidecars.get(index).report();
        events.schedule(
                settings.reportDelay().toNanos(),
                () -> entries.forEach(entry -> entry.router().recordReport(deployment.sidecarId(index), report)));
        events.schedule(settings.reportInterval().toNanos(), () -> reportPeriodically(index));
    }

    private void apply(Fault fault) {
        switch (fault.kind()) {
            case ENGINE_TURNS_COLD -> sidecars.get(fault.index()).engine().resetToCold();
            case ENGINE_CRASHES -> sidecars.get(fault.index()).engine().crash(events.nowNanos());
            case ZONE_OUT -> setZoneInService(fault.index(), false);
            case ZONE_IN -> setZoneInService(fault.index(), true);
            default -> throw new IllegalStateException("unknown fault " + fault.kind());
        }
    }

    private void setZoneInService(int zone, boolean inService) {
        entries.forEach(entry -> entry.router().setZoneInService(deployment.zone(zone), inService));
        if (inService) {
            // Engines are assigned to the zones round-robin.
            for (int i = zone; i < sidecars.size(); i += deployment.zoneNames().size()) {
                SidecarModel restarted = createSidecar();
                restarted.engine().resetToCold();
                sidecars.set(i, restarted);
                processQueuePeriodically(restarted);
            }
        }
    }

    private LocalQuota createQuota(int entry) {
        LocalQuota quota = LocalQuota.create(clock);
        quota.setCaps(settings.caps());
        quota.setLiveEntries(deployment.entries(), entry);
        return quota;
    }

    private SidecarModel createSidecar() {
        return new SidecarModel(
                events, policies.admission().apply(clock), deployment.engineSpec(), new SidecarHandler());
    }

    private long preemptions() {
        return sidecars.stream()
                .mapToLong(sidecar -> sidecar.engine().preemptions())
                .sum();
    }

    /** Passes the results of attempts to the entry of the call, after the network delay, and tokens to the recorder. */
    private final class SidecarHandler implements SidecarListener {
        @Override
        public void tokenGenerated(Call call) {
            recorder.tokenGenerated(call, events.nowNanos());
        }

        @Override
        public void finished(Call call) {
            events.schedule(delayNanos(call), () -> entry(call).finished(call));
        }

        @Override
        public void failed(Call call, CallFailure failure) {
            events.schedule(delayNanos(call), () -> entry(call).failed(call, failure));
        }
    }

    /** Passes the decisions of the entries to the sidecars, after the network delay, and to the recorder. */
    private final class EntryHandler implements EntryListener {
        @Override
        public void dispatched(Call call, long deadlineNanos) {
            int sidecar = sidecarIndexes.get(call.instance);
            events.schedule(delayNanos(call), () -> sidecars.get(sidecar).offer(call, deadlineNanos));
        }

        @Override
        public void answered(Call call) {
            recorder.answered(call);
        }

        @Override
        public void failed(Call call, CallFailure failure) {
            recorder.failed(call, failure);
        }
    }
}
