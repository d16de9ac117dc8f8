package coriandersill.leases.log;

import coriandersill.core.ManagedService;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.events.LoopGuard;
import coriandersill.leases.HeldLease;
import coriandersill.leases.Lease;
import coriandersill.leases.LeaseEffect;
import coriandersill.leases.LeaseHolder;
import coriandersill.leases.LeaseName;
import coriandersill.leases.LeaseRecord;
import coriandersill.leases.LeaseStateMachine;
import coriandersill.sharedlog.AppendMode;
import coriandersill.sharedlog.BatchingAppender;
import coriandersill.sharedlog.LogFollower;
import coriandersill.sharedlog.LogNotice;
import coriandersill.sharedlog.LogRecord;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;

/**
 * Acquires and renews leases that are based on a stream of the platform's log.
 *
 * <pre>{@code
 * LeaseService leases = LeaseService.builder(log, scheduler, holder).listener(listener).build();
 * leases.start();
 * leases.campaign(LeaseName.of("rollout:scribe"));
 * leases.held(name).ifPresent(lease -> sendOrder(lease.token()));
 * }</pre>
 *
 * <p>A process holds a lease from the moment at which it reads its own record back until a margin before the end of the
 * term, measured by its own clock from before the record was appended.
 *
 * <p>Thread-safe. Listeners are notified of the effects of log records on the executor. The loss of an expired lease
 * can also be reported on the thread of the scheduler, and that of a resigned lease is reported on the thread that
 * calls {@link #resign} or {@link #stop}.
 */
public final class LeaseService implements ManagedService {
    private final LeaseHolder holder;
    private final Duration term;
    private final Duration checkInterval;
    private final InstantSource wallClock;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final EventLog events;
    private final LoopGuard guard;
    private final LeaseListener listener;
    private final TokenListener tokenListener;
    private final LeaseStateMachine leases = LeaseStateMachine.of();
    private final CampaignTable campaigns;
    private final BatchingAppender appender;
    private final LogFollower follower;
    private final byte[] marker;
    private final CompletableFuture<Void> started = new CompletableFuture<>();
    private volatile boolean stopped;

    LeaseService(LeaseServiceBuilder builder) {
        this.holder = builder.holder;
        this.term = builder.term;
        this.checkInterval = builder.term.dividedBy(4);
        this.wallClock = builder.wallClock;
        this.scheduler = builder.scheduler;
        this.random = builder.random;
        this.events = builder.events;
        this.guard = builder.loops.register("renewal of leases", builder.term);
        this.listener = builder.listener;
        this.tokenListener = builder.tokenListener;
        this.campaigns =
                new CampaignTable(builder.clock, term.minus(builder.stopMargin).toNanos());
        this.appender = BatchingAppender.builder(builder.log, builder.stream, builder.scheduler)
                .executor(builder.executor)
                .clock(builder.clock)
                .random(builder.random)
                .maxWait(checkInterval)
                .guard(builder.loops.register("appends of leases", BatchingAppender.STALL_BOUND))
                .build();
        this.follower = LogFollower.builder(builder.log, builder.stream, builder.scheduler)
                .executor(builder.executor)
                .clock(builder.clock)
                .random(builder.random)
                .handler(this::onRecord)
                .notices(this::onNotice)
                .guard(builder.loops.register("reads of leases", LogFollower.STALL_BOUND))
                .build();
        this.marker = LeaseCodec.marker(holder, builder.random.nextLong());
    }

    /** Returns a builder for the leases of {@code holder}. */
    public static LeaseServiceBuilder builder(PlatformLog log, Scheduler scheduler, LeaseHolder holder) {
        return new LeaseServiceBuilder(log, scheduler, holder);
    }

    /**
     * Starts following the stream. The future completes when this service has read back a marker that it appends, so
     * that all earlier tokens are known.
     */
    @Override
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> unused = follower.start();
        checkLeases();
        return started.copy();
    }

    /**
     * Releases all leases and stops after {@code grace} or one check interval, whichever is shorter, so that the
     * releases can be appended.
     */
    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        campaigns.names().forEach(this::resign);
        stopped = true;
        guard.rest();
        CompletableFuture<Void> done = new CompletableFuture<>();
        scheduler.schedule(grace.compareTo(checkInterval) < 0 ? grace : checkInterval, () -> done.complete(null));
        return done.thenCompose(nothing -> follower.stop(Duration.ZERO));
    }

    /** Campaigns for a lease until {@link #resign}: acquires it when it is free and renews it while it is held. */
    public void campaign(LeaseName name) {
        campaigns.add(name);
        acquireOrRenew(name);
    }

    /** Ends the campaign for a lease and releases the lease if it is held. */
    public void resign(LeaseName name) {
        campaigns.remove(name).ifPresent(lease -> {
            append(new LeaseRecord.Release(name, holder, lease.token()));
            listener.onLost(name);
        });
    }

    /** Returns the lease if this process may act under it now; must be checked before each order. */
    public Optional<HeldLease> held(LeaseName name) {
        return campaigns.held(name);
    }

    /**
     * Returns the last lease of that name that was not released, regardless of its holder and whether it has expired.
     */
    public Optional<Lease> find(LeaseName name) {
        return leases.find(name);
    }

    private void checkLeases() {
        if (stopped) {
            return;
        }
        try {
            guard.runPeriodic(this::renewAll);
        } finally {
            long jitter = random.nextLong(checkInterval.toMillis() / 4 + 1);
            scheduler.schedule(checkInterval.minusMillis(jitter), this::checkLeases);
        }
    }

    private void renewAll() {
        if (!started.isDone()) {
            // Repeated at every check until a marker is read back, because an append may be lost.
            CompletableFuture<Long> unused = appender.append(marker, AppendMode.AT_MOST_ONCE);
        }
        guard.forEach(campaigns.removeExpired(), this::onLeaseLost);
        guard.forEach(campaigns.names(), this::acquireOrRenew);
    }

    private void acquireOrRenew(LeaseName name) {
        if (!started.isDone() || stopped) {
            return;
        }
        Optional<HeldLease> held = campaigns.held(name);
        if (held.isPresent()) {
            long token = held.get().token();
            appendNext(name, sequence -> new LeaseRecord.Renew(name, holder, token, term, sequence));
        } else if (leases.isFree(name, wallClock.instant())) {
            appendNext(name, sequence -> new LeaseRecord.Acquire(name, holder, term, sequence));
        }
    }

    private void appendNext(LeaseName name, LongFunction<LeaseRecord> record) {
        campaigns.beginRecord(name).ifPresent(sequence -> append(record.apply(sequence)));
    }

    private void append(LeaseRecord record) {
        CompletableFuture<Long> unused = appender.append(LeaseCodec.encode(record), AppendMode.AT_MOST_ONCE);
    }

    private void onRecord(LogRecord record) {
        if (!started.isDone() && Arrays.equals(record.data(), marker)) {
            started.complete(null);
            campaigns.names().forEach(this::acquireOrRenew);
            return;
        }
        LeaseCodec.decode(record.data()).ifPresent(decoded -> {
            LeaseEffect effect = leases.apply(record.offset(), record.time(), decoded);
            if (effect instanceof LeaseEffect.Won won) {
                tokenListener.onToken(won.lease().name(), won.lease().token());
            }
            if (decoded.holder().equals(holder)) {
                onOwnRecord(effect, decoded);
            } else if (effect instanceof LeaseEffect.Won won) {
                campaigns.removeTakenOverAndExpired(won.lease().name()).forEach(this::onLeaseLost);
            } else if (effect instanceof LeaseEffect.Released released) {
                acquireOrRenew(released.lease().name());
            }
        });
    }

    private void onOwnRecord(LeaseEffect effect, LeaseRecord record) {
        LeaseName name = record.name();
        if (effect instanceof LeaseEffect.Won won && record instanceof LeaseRecord.Acquire acquire) {
            Optional<HeldLease> lease =
                    campaigns.onLeaseGranted(name, won.lease().token(), acquire.sequence());
            if (lease.isPresent()) {
                long token = lease.get().token();
                events.record(EventCode.LEASE_WON, Map.of("lease", name, "token", token));
                listener.onWon(lease.get());
            } else {
                // The lease cannot be used, see onLeaseGranted; released so that it is free before its term ends.
                append(new LeaseRecord.Release(name, holder, won.lease().token()));
            }
        } else if (effect instanceof LeaseEffect.Renewed renewed && record instanceof LeaseRecord.Renew renew) {
            Optional<HeldLease> unused =
                    campaigns.onLeaseGranted(name, renewed.lease().token(), renew.sequence());
        } else if (record instanceof LeaseRecord.Acquire acquire) {
            campaigns.onRecordRefused(name, acquire.sequence());
        } else if (record instanceof LeaseRecord.Renew renew) {
            campaigns.onRecordRefused(name, renew.sequence());
        }
    }

    private void onLeaseLost(LeaseName name) {
        events.record(EventCode.LEASE_LOST, Map.of("lease", name));
        listener.onLost(name);
    }

    private void onNotice(LogNotice notice) {
        if (notice instanceof LogNotice.Unavailable down) {
            events.record(
                    EventCode.LOG_DOWN,
                    Map.of("stream", "leases", "reason", down.failure().getMessage()));
        } else if (notice instanceof LogNotice.Available) {
            events.record(EventCode.LOG_UP, Map.of("stream", "leases"));
        } else if (started.isDone() || !(notice instanceof LogNotice.Trimmed)) {
            leases.setHistoryStart(wallClock.instant(), term.multipliedBy(2));
        }
    }
}
