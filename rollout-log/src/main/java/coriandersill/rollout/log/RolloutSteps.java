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

/** Judges the evidence of rollouts and appends their next records; called by one tick at a time. */
final class RolloutSteps {
    private static final long RETRY_MILLIS = 2_000;
    private static final long COLLECTORS_DELAY_MILLIS = 2_000;
    private static final long COLLECTORS_SPREAD_MILLIS = 2_000;
    private static final long OTHERS_DELAY_MILLIS = 10_000;
    private static final long OTHERS_SPREAD_MILLIS = 20_000;

    private final RolloutServiceBuilder settings;
    private final RolloutBook book;
    private final StoppedRollouts stops;
    private final EvidenceExchange exchange;
    private final LogFollower follower;
    private final BatchingAppender appender;

    RolloutSteps(
            RolloutServiceBuilder settings,
            RolloutBook book,
            StoppedRollouts stops,
            EvidenceExchange exchange,
            LogFollower follower) {
        this.settings = settings;
        this.book = book;
        this.stops = stops;
        this.exchange = exchange;
        this.follower = follower;
        this.appender = BatchingAppender.builder(settings.log, RolloutService.STREAM, settings.scheduler)
                .executor(settings.executor)
                .random(settings.random)
                .build();
    }

    /** Judges the windows that have closed; returns a verdict when they show the version bad. */
    Optional<RolloutVerdict> judge(RolloutTrack track, EvidenceTable table) {
        RolloutPlan plan = track.plan();
        double share = share(plan);
        List<WindowEvidence> closed =
                table.closedWindowsAfter(track.lastJudged(), plan.id().service(), plan.from(), plan.to(), share);
        for (WindowEvidence window : closed) {
            Judgement judgement = track.judgement();
            if (share > 0) {
                judgement = track.judge().observe(new WindowEvidence(window.window(), share, steady(window.strata())));
            }
            track.judged(window.window(), judgement);
        }
        if (track.judgement().finding() != Judgement.Finding.BAD) {
            return Optional.empty();
        }
        return Optional.of(new RolloutVerdict(
                plan.id(),
                settings.self,
                settings.clock.millis(),
                track.judgement().reason()));
    }

    /** Appends the record that is due, if this process may. */
    void advance(RolloutTrack track) {
        if (track.awaits(follower.caughtUpTo())) {
            return;
        }
        Optional<RolloutVerdict> stop = stops.verdictFor(track.plan().id());
        if (stop.isPresent()) {
            rollBack(track, stop.get());
        } else {
            forward(track);
        }
    }

    /** Appends a rollback: at once when this process found it or leads the rollout, later when nobody else has. */
    private void rollBack(RolloutTrack track, RolloutVerdict verdict) {
        long now = settings.clock.millis();
        long wait = rollbackWait(verdict);
        if (track.nextRollbackMillis() == 0 && wait > 0) {
            track.nextRollbackMillis(now + wait);
        }
        if (now < track.nextRollbackMillis()) {
            return;
        }
        track.nextRollbackMillis(now + Math.max(RETRY_MILLIS, wait));
        append(track, RolloutTransition.rollback(verdict.id(), settings.self, verdict.evidence()));
    }

    /** How long others are given to record a rollback first; nobody's calls wait for the record. */
    private long rollbackWait(RolloutVerdict verdict) {
        ServiceName service = verdict.id().service();
        boolean leads = settings.leases.token(RolloutService.leaseName(service)).isPresent();
        if (verdict.source().equals(settings.self) || (leads && exchange.collects(service))) {
            return 0;
        }
        return exchange.collects(service)
                ? COLLECTORS_DELAY_MILLIS + settings.random.nextLong(COLLECTORS_SPREAD_MILLIS)
                : othersDelay();
    }

    private void forward(RolloutTrack track) {
        RolloutPlan plan = track.plan();
        ServiceName service = plan.id().service();
        OptionalLong token = settings.leases.token(RolloutService.leaseName(service));
        if (token.isEmpty() || !exchange.collects(service)) {
            track.nextStep("another process holds the lease");
            return;
        }
        Optional<RolloutState> state = book.state(plan.id());
        Instant now = settings.clock.instant();
        if (state.isEmpty()) {
            start(track, token.getAsLong(), now);
            return;
        }
        Pacer.Step step = settings.pacer.next(input(track, state.get(), now));
        track.nextStep(step.reason());
        if (step.phase() != state.get().phase() || step.share() != state.get().share()) {
            append(track, transition(plan.id(), step, token.getAsLong()));
        }
    }

    /**
     * Records the declaration, unless its deadline has passed: then its records may have aged out of the log. A log
     * that already has later records of the rollout refuses it, and once it is read back those are known here.
     */
    private void start(RolloutTrack track, long token, Instant now) {
        if (now.isBefore(track.plan().deadline())) {
            Pacer.Step step = new Pacer.Step(RolloutPhase.DECLARED, 0, "declared");
            append(track, transition(track.plan().id(), step, token));
        } else {
            track.nextStep("not begun: the deadline has passed");
        }
    }

    private PaceInput input(RolloutTrack track, RolloutState state, Instant now) {
        RolloutPlan plan = track.plan();
        boolean zoneChanging = settings.zones.get().stream().anyMatch(settings.surroundings::zoneChanging);
        PaceInput.Conditions conditions = new PaceInput.Conditions(
                settings.surroundings.warmShare(plan), zoneChanging, exchange.reportsComplete());
        return new PaceInput(
                plan,
                state.phase(),
                state.share(),
                state.since(),
                state.phaseSince(),
                now,
                track.judgement(),
                conditions);
    }

    private RolloutTransition transition(RolloutId id, Pacer.Step step, long token) {
        return new RolloutTransition(id, step.phase(), step.share(), token, settings.self, step.reason());
    }

    private void append(RolloutTrack track, RolloutTransition transition) {
        track.sent();
        CompletableFuture<Long> unused = appender.append(RolloutCodec.write(transition), AppendMode.AT_LEAST_ONCE)
                .whenComplete((offset, error) -> {
                    if (error == null) {
                        track.taken(offset);
                    } else {
                        track.settled();
                    }
                });
    }

    private double share(RolloutPlan plan) {
        boolean stopped = stops.verdictFor(plan.id()).isPresent();
        return stopped ? 0 : book.state(plan.id()).map(RolloutState::share).orElse(0.0);
    }

    private List<Stratum> steady(List<Stratum> strata) {
        return strata.stream()
                .filter(stratum -> !settings.surroundings.zoneChanging(stratum.zone()))
                .toList();
    }

    private long othersDelay() {
        return OTHERS_DELAY_MILLIS + settings.random.nextLong(OTHERS_SPREAD_MILLIS);
    }
}
