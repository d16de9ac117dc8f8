package coriandersill.rollout.log;

import coriandersill.core.ServiceName;
import coriandersill.rollout.EvidenceTable;
import coriandersill.rollout.Judgement;
import coriandersill.rollout.PaceInput;
import coriandersill.rollout.Pacer;
import coriandersill.rollout.RolloutId;
import coriandersill.rollout.RolloutPhase;
import coriandersill.rollout.RolloutPlan;
import coriandersill.rollout.RolloutState;
import coriandersill.rollout.RolloutTransition;
import coriandersill.rollout.RolloutVerdict;
import coriandersill.rollout.StoppedRollouts;
import coriandersill.rollout.Stratum;
import coriandersill.rollout.WindowEvidence;
import coriandersill.sharedlog.AppendMode;
import coriandersill.sharedlog.BatchingAppender;
import coriandersill.sharedlog.LogFollower;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/** Judges the evidence of rollouts and appends their next records to the log; used by only one tick at a time. */
final class RolloutDriver {
    private static final long MIN_ROLLBACK_RETRY_INTERVAL_MILLIS = 2_000;
    private static final long COLLECTOR_ROLLBACK_DELAY_MILLIS = 2_000;
    private static final long MAX_COLLECTOR_JITTER_MILLIS = 2_000;
    private static final long NON_COLLECTOR_ROLLBACK_DELAY_MILLIS = 10_000;
    private static final long MAX_NON_COLLECTOR_JITTER_MILLIS = 20_000;

    private final RolloutServiceBuilder settings;
    private final RolloutRegistry registry;
    private final StoppedRollouts stoppedRollouts;
    private final EvidenceExchange exchange;
    private final LogFollower follower;
    private final BatchingAppender appender;

    RolloutDriver(
            RolloutServiceBuilder settings,
            RolloutRegistry registry,
            StoppedRollouts stoppedRollouts,
            EvidenceExchange exchange,
            LogFollower follower) {
        this.settings = settings;
        this.registry = registry;
        this.stoppedRollouts = stoppedRollouts;
        this.exchange = exchange;
        this.follower = follower;
        this.appender = BatchingAppender.builder(settings.log, RolloutService.STREAM, settings.scheduler)
                .executor(settings.executor)
                .random(settings.random)
                .guard(settings.loops.register("appends of rollouts", BatchingAppender.STALL_BOUND))
                .build();
    }

    /**
     * Judges the closed windows, all at the current share, and returns a verdict if the evidence shows that the version
     * is bad. While the current share is 0, closed windows are skipped.
     */
    Optional<RolloutVerdict> judge(TrackedRollout rollout, EvidenceTable evidence) {
        RolloutPlan plan = rollout.plan();
        double share = currentShare(plan);
        List<WindowEvidence> closed = evidence.closedWindowsAfter(
                rollout.lastJudgedWindow(), plan.id().service(), plan.from(), plan.to(), share);
        for (WindowEvidence window : closed) {
            Judgement judgement = rollout.judgement();
            if (share > 0) {
                judgement = rollout.judge()
                        .observe(new WindowEvidence(window.window(), share, excludeChangingZones(window.strata())));
            }
            rollout.recordJudgement(window.window(), judgement);
        }
        if (rollout.judgement().finding() != Judgement.Finding.BAD) {
            return Optional.empty();
        }
        return Optional.of(new RolloutVerdict(
                plan.id(),
                settings.self,
                settings.clock.millis(),
                rollout.judgement().reason()));
    }

    /** Appends the next record of the rollout, if one is due and this process may write it. */
    void advance(TrackedRollout rollout) {
        if (rollout.isRecordPending(follower.lastDeliveredOffset())) {
            return;
        }
        Optional<RolloutVerdict> verdict =
                stoppedRollouts.verdictFor(rollout.plan().id());
        if (verdict.isPresent()) {
            appendRollback(rollout, verdict.get());
        } else {
            appendForwardStep(rollout);
        }
    }

    /**
     * Appends a rollback: at once if this process made the finding or holds the lease as a collector, otherwise after a
     * delay if no other process has appended it. A rollout is no longer active once its rollback has been read from the
     * log.
     */
    private void appendRollback(TrackedRollout rollout, RolloutVerdict verdict) {
        long now = settings.clock.millis();
        long delayMillis = rollbackDelayMillis(verdict);
        if (rollout.nextRollbackMillis() == 0 && delayMillis > 0) {
            rollout.setNextRollbackMillis(now + delayMillis);
        }
        if (now < rollout.nextRollbackMillis()) {
            return;
        }
        rollout.setNextRollbackMillis(now + Math.max(MIN_ROLLBACK_RETRY_INTERVAL_MILLIS, delayMillis));
        append(rollout, RolloutTransition.rollback(verdict.id(), settings.self, verdict.reason()));
    }

    /** The delay that lets other processes record a rollback first; traffic stops without waiting for the record. */
    private long rollbackDelayMillis(RolloutVerdict verdict) {
        ServiceName service = verdict.id().service();
        boolean isLeaseHolder =
                settings.leases.fencingToken(RolloutService.leaseName(service)).isPresent();
        if (verdict.source().equals(settings.self) || (isLeaseHolder && exchange.isCollector(service))) {
            return 0;
        }
        return exchange.isCollector(service)
                ? COLLECTOR_ROLLBACK_DELAY_MILLIS + settings.random.nextLong(MAX_COLLECTOR_JITTER_MILLIS)
                : NON_COLLECTOR_ROLLBACK_DELAY_MILLIS + settings.random.nextLong(MAX_NON_COLLECTOR_JITTER_MILLIS);
    }

    private void appendForwardStep(TrackedRollout rollout) {
        RolloutPlan plan = rollout.plan();
        ServiceName service = plan.id().service();
        OptionalLong token = settings.leases.fencingToken(RolloutService.leaseName(service));
        if (token.isEmpty() || !exchange.isCollector(service)) {
            rollout.setDecisionReason("another process holds the lease");
            return;
        }
        Optional<RolloutState> state = registry.state(plan.id());
        Instant now = settings.clock.instant();
        if (state.isEmpty()) {
            appendDeclaration(rollout, token.getAsLong(), now);
            return;
        }
        Pacer.Step step = settings.pacer.next(paceInput(rollout, state.get(), now));
        rollout.setDecisionReason(step.reason());
        if (step.phase() != state.get().phase() || step.share() != state.get().share()) {
            append(rollout, transition(plan.id(), step, token.getAsLong()));
        }
    }

    /**
     * Appends the declaration, unless the deadline has passed: the records of the rollout may then have expired from
     * the log. If the log already contains later records of the rollout, the declaration has no effect when it is
     * applied, and by then this process has read those records.
     */
    private void appendDeclaration(TrackedRollout rollout, long token, Instant now) {
        if (now.isBefore(rollout.plan().deadline())) {
            Pacer.Step step = new Pacer.Step(RolloutPhase.DECLARED, 0, "declared");
            append(rollout, transition(rollout.plan().id(), step, token));
        } else {
            rollout.setDecisionReason("not begun: the deadline has passed");
        }
    }

    private PaceInput paceInput(TrackedRollout rollout, RolloutState state, Instant now) {
        RolloutPlan plan = rollout.plan();
        boolean zoneChanging = settings.zones.get().stream().anyMatch(settings.conditions::isZoneChanging);
        PaceInput.Conditions conditions =
                new PaceInput.Conditions(settings.conditions.warmShare(plan), zoneChanging, exchange.reportsComplete());
        return new PaceInput(
                plan,
                state.phase(),
                state.share(),
                state.recordedAt(),
                state.phaseSince(),
                now,
                rollout.judgement(),
                conditions);
    }

    private RolloutTransition transition(RolloutId id, Pacer.Step step, long token) {
        return new RolloutTransition(id, step.phase(), step.share(), token, settings.self, step.reason());
    }

    /** Appends a record; after a failure a later tick decides anew. */
    private void append(TrackedRollout rollout, RolloutTransition transition) {
        rollout.markRecordPending();
        CompletableFuture<Long> unused = appender.append(RolloutCodec.encode(transition), AppendMode.AT_LEAST_ONCE)
                .whenComplete((offset, error) -> {
                    if (error == null) {
                        rollout.markRecordAppended(offset);
                    } else {
                        rollout.clearPendingRecord();
                    }
                });
    }

    private double currentShare(RolloutPlan plan) {
        boolean stopped = stoppedRollouts.verdictFor(plan.id()).isPresent();
        return stopped ? 0 : registry.state(plan.id()).map(RolloutState::share).orElse(0.0);
    }

    private List<Stratum> excludeChangingZones(List<Stratum> strata) {
        return strata.stream()
                .filter(stratum -> !settings.conditions.isZoneChanging(stratum.zone()))
                .toList();
    }
}
