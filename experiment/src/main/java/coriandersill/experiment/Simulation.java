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
 * Runs arrivals through entries, sidecars and engines in virtual time, with the decision classes of the daemons.
 *
 * <pre>{@code
 * RunResult result = Simulation.run(RunSettings.of(Deployment.awaj(), arrivals, 1, warmUp, measured), policies);
 * }</pre>
 */
public final class Simulation {
    private static final Duration TICK = Duration.ofMillis(20);
    private static final int ASSUMED_LIMIT = 40;
    private static final double FIRST_ZONE_SHARE = 0.05;

    private final RunSettings settings;
    private final PolicySet policies;
    private final Deployment deployment;
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final EventQueue events = new EventQueue(clock);
    private final Recorder recorder;
    private final List<SidecarModel> sidecars = new ArrayList<>();
    private final Map<InstanceId, Integer> indexes = new HashMap<>();
    private final List<EntryModel> entries = new ArrayList<>();
    private long warmUpPreemptions;

    private Simulation(RunSettings settings, PolicySet policies) {
        this.settings = settings;
        this.policies = policies;
        this.deployment = settings.deployment();
        this.recorder = new Recorder(settings);
        SplittableRandom random = new SplittableRandom(settings.seed());
        for (int i = 0; i < deployment.engines(); i++) {
            sidecars.add(sidecar());
            indexes.put(deployment.sidecar(i), i);
        }
        List<CandidateInfo> candidates = deployment.candidates(ASSUMED_LIMIT);
        for (int i = 0; i < deployment.entries(); i++) {
            Router router = Router.builder(clock, random.split())
                    .policy(policies.routing().apply(random.split()))
                    .zoneRamp(policies.zoneRamp(), policies.zoneRamp().isZero() ? 1 : FIRST_ZONE_SHARE)
                    .build();
            BudgetedRetry retries = BudgetedRetry.of(
                    RetryBudget.of(0.1, 10), 3, Duration.ofMillis(10), Duration.ofMillis(100), random.split());
            long maxWait = settings.maxWait().toNanos();
            entries.add(new EntryModel(
                    events,
                    new EntryModel.Policies(router, retries, quota(i)),
                    new EntryModel.Settings(deployment, i, maxWait, candidates),
                    new EntryHandler()));
        }
    }

    /** Runs until every call of the measured time has ended. */
    public static RunResult run(RunSettings settings, PolicySet policies) {
        return new Simulation(settings, policies).run(policies.name());
    }

    private RunResult run(String name) {
        for (Arrival arrival : settings.arrivals()) {
            events.after(arrival.atNanos(), () -> entries.get(arrival.entry()).arrived(new Call(arrival)));
        }
        for (Fault fault : settings.faults()) {
            events.after(fault.at().toNanos(), () -> apply(fault));
        }
        events.after(settings.warmUp().toNanos(), () -> warmUpPreemptions = preemptions());
        for (int i = 0; i < sidecars.size(); i++) {
            tick(sidecars.get(i));
            report(i);
        }
        while (recorder.unfinished()) {
            if (!events.runNext()) {
                throw new IllegalStateException("calls are open and no event is left");
            }
        }
        long violations = sidecars.stream()
                .mapToLong(sidecar -> sidecar.engine().coldViolations())
                .sum();
        return recorder.result(name, preemptions() - warmUpPreemptions, violations);
    }

    private EntryModel entry(Call call) {
        return entries.get(call.arrival.entry());
    }

    private long delay(Call call) {
        return deployment.delayNanos(call.arrival.entry(), indexes.get(call.instance));
    }

    private void tick(SidecarModel sidecar) {
        sidecar.tick();
        events.after(TICK.toNanos(), () -> tick(sidecar));
    }

    private void report(int index) {
        LoadReport report = sidecars.get(index).report();
        events.after(
                settings.reportLag().toNanos(),
                () -> entries.forEach(entry -> entry.router().report(deployment.sidecar(index), report)));
        events.after(settings.reportEvery().toNanos(), () -> report(index));
    }

    private void apply(Fault fault) {
        switch (fault.kind()) {
            case ENGINE_TURNS_COLD -> sidecars.get(fault.index()).engine().turnCold();
            case ENGINE_DIES -> sidecars.get(fault.index()).engine().fallOver(events.now());
            case ZONE_OUT -> zoneInService(fault.index(), false);
            case ZONE_IN -> zoneInService(fault.index(), true);
            default -> throw new IllegalStateException("unknown fault " + fault.kind());
        }
    }

    private void zoneInService(int zone, boolean inService) {
        entries.forEach(entry -> entry.router().setZoneInService(deployment.zone(zone), inService));
        if (inService) {
            for (int i = zone; i < sidecars.size(); i += deployment.zoneNames().size()) {
                SidecarModel restarted = sidecar();
                restarted.engine().turnCold();
                sidecars.set(i, restarted);
                tick(restarted);
            }
        }
    }

    private LocalQuota quota(int entry) {
        LocalQuota quota = LocalQuota.create(clock);
        quota.setCaps(settings.caps());
        quota.setLiveEntries(deployment.entries(), entry);
        return quota;
    }

    private SidecarModel sidecar() {
        return new SidecarModel(events, policies.admission().apply(clock), deployment.engine(), new SidecarHandler());
    }

    private long preemptions() {
        return sidecars.stream()
                .mapToLong(sidecar -> sidecar.engine().preemptions())
                .sum();
    }

    /** Carries what sidecars say to the entry of the call. */
    private final class SidecarHandler implements SidecarListener {
        @Override
        public void token(Call call) {
            recorder.token(call, events.now());
        }

        @Override
        public void finished(Call call) {
            events.after(delay(call), () -> entry(call).finished(call));
        }

        @Override
        public void failed(Call call, CallFailure failure) {
            events.after(delay(call), () -> entry(call).failed(call, failure));
        }
    }

    /** Carries what entries decide to the sidecars and the recorder. */
    private final class EntryHandler implements EntryListener {
        @Override
        public void dispatch(Call call, long deadlineNanos) {
            int sidecar = indexes.get(call.instance);
            events.after(delay(call), () -> sidecars.get(sidecar).offer(call, deadlineNanos));
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
