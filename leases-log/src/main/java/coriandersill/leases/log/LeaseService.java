package coriandersill.leases.log;

import coriandersill.core.ManagedService;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
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
 * Wins and keeps leases on the platform's log.
 *
 * <pre>{@code
 * LeaseService leases = LeaseService.builder(log, scheduler, holder).listener(listener).build();
 * leases.start();
 * leases.campaign(LeaseName.of("rollout/scribe"));
 * leases.held(name).ifPresent(lease -> order(lease.token()));
 * }</pre>
 *
 * <p>A lease is held from the reading back of the own record until a margin before the term, counted by the holder's
 * clock from before the record was sent. Safe for use by many threads; listeners are called on the executor.
 */
public final class LeaseService implements ManagedService {
    private final LeaseHolder holder;
    private final Duration term;
    private final Duration tick;
    private final InstantSource time;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final EventLog events;
    private final LeaseListener listener;
    private final TokenListener tokens;
    private final LeaseStateMachine fold = LeaseStateMachine.of();
    private final CampaignTable campaigns;
    private final BatchingAppender appender;
    private final LogFollower follower;
    private final byte[] marker;
    private final CompletableFuture<Void> started = new CompletableFuture<>();
    private volatile boolean stopped;

    LeaseService(LeaseServiceBuilder builder) {
        this.holder = builder.holder;
        this.term = builder.term;
        this.tick = builder.term.dividedBy(4);
        this.time = builder.wallClock;
        this.scheduler = builder.scheduler;
        this.random = builder.random;
        this.events = builder.events;
        this.listener = builder.listener;
        this.tokens = builder.tokenListener;
        this.campaigns =
                new CampaignTable(builder.clock, term.minus(builder.margin).toNanos());
        this.appender = BatchingAppender.builder(builder.log, builder.stream, builder.scheduler)
                .executor(builder.executor)
                .clock(builder.clock)
                .random(builder.random)
                .maxWait(tick)
                .build();
        this.follower = LogFollower.builder(builder.log, builder.stream, builder.scheduler)
                .executor(builder.executor)
                .clock(builder.clock)
                .random(builder.random)
                .handler(this::read)
                .notices(this::noticed)
                .build();
        this.marker = LeaseCodec.marker(holder, builder.random.nextLong());
    }

    /** Returns a builder for the leases of {@code holder}. */
    public static LeaseServiceBuilder builder(PlatformLog log, Scheduler scheduler, LeaseHolder holder) {
        return new LeaseServiceBuilder(log, scheduler, holder);
    }

    /**
     * Begins to follow the leases; completes when a marker that this service appends has come back, so that every token
     * won before is known.
     */
    @Override
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> unused = follower.start();
        work();
        return started.copy();
    }

    /** Gives every lease back and stops. */
    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        campaigns.wanted().forEach(this::resign);
        stopped = true;
        CompletableFuture<Void> done = new CompletableFuture<>();
        scheduler.schedule(grace.compareTo(tick) < 0 ? grace : tick, () -> done.complete(null));
        return done.thenCompose(nothing -> follower.stop(Duration.ZERO));
    }

    /** Seeks a lease until {@link #resign}: wins it when it is free and renews it while it is held. */
    public void campaign(LeaseName name) {
        campaigns.want(name);
        advance(name);
    }

    /** Seeks a lease no longer, and gives it back when it is held. */
    public void resign(LeaseName name) {
        campaigns.leave(name).ifPresent(lease -> {
            append(new LeaseRecord.Release(name, holder, lease.token()));
            listener.onLost(name);
        });
    }

    /** Returns the lease while this process may act under it; to be asked before each order. */
    public Optional<HeldLease> held(LeaseName name) {
        return campaigns.held(name);
    }

    /** Returns the last lease of that name that this process has read of, whoever holds it. */
    public Optional<Lease> find(LeaseName name) {
        return fold.find(name);
    }

    private void work() {
        if (stopped) {
            return;
        }
        if (!started.isDone()) {
            CompletableFuture<Long> unused = appender.append(marker, AppendMode.AT_MOST_ONCE);
        }
        campaigns.drop(null).forEach(this::lost);
        campaigns.wanted().forEach(this::advance);
        long jitter = random.nextLong(tick.toMillis() / 4 + 1);
        scheduler.schedule(tick.minusMillis(jitter), this::work);
    }

    private void advance(LeaseName name) {
        if (!started.isDone() || stopped) {
            return;
        }
        Optional<HeldLease> held = campaigns.held(name);
        if (held.isPresent()) {
            long token = held.get().token();
            sendFor(name, sequence -> new LeaseRecord.Renew(name, holder, token, term, sequence));
        } else if (fold.isFree(name, time.instant())) {
            sendFor(name, sequence -> new LeaseRecord.Acquire(name, holder, term, sequence));
        }
    }

    private void sendFor(LeaseName name, LongFunction<LeaseRecord> record) {
        campaigns.sending(name).ifPresent(sequence -> append(record.apply(sequence)));
    }

    private void append(LeaseRecord record) {
        CompletableFuture<Long> unused = appender.append(LeaseCodec.encode(record), AppendMode.AT_MOST_ONCE);
    }

    private void read(LogRecord record) {
        if (!started.isDone() && Arrays.equals(record.data(), marker)) {
            started.complete(null);
            campaigns.wanted().forEach(this::advance);
            return;
        }
        LeaseCodec.decode(record.data()).ifPresent(decoded -> {
            LeaseEffect effect = fold.apply(record.offset(), record.time(), decoded);
            if (effect instanceof LeaseEffect.Won won) {
                tokens.onToken(won.lease().name(), won.lease().token());
            }
            if (decoded.holder().equals(holder)) {
                own(effect, decoded);
            } else if (effect instanceof LeaseEffect.Won won) {
                campaigns.drop(won.lease().name()).forEach(this::lost);
            } else if (effect instanceof LeaseEffect.Released released) {
                advance(released.lease().name());
            }
        });
    }

    private void own(LeaseEffect effect, LeaseRecord record) {
        LeaseName name = record.name();
        if (effect instanceof LeaseEffect.Won won && record instanceof LeaseRecord.Acquire acquire) {
            Optional<HeldLease> lease = campaigns.hold(name, won.lease().token(), acquire.sequence());
            if (lease.isPresent()) {
                long token = lease.get().token();
                events.record(EventCode.LEASE_WON, Map.of("lease", name, "token", token));
                listener.onWon(lease.get());
            } else {
                append(new LeaseRecord.Release(name, holder, won.lease().token()));
            }
        } else if (effect instanceof LeaseEffect.Renewed renewed && record instanceof LeaseRecord.Renew renew) {
            Optional<HeldLease> unused = campaigns.hold(name, renewed.lease().token(), renew.sequence());
        } else if (record instanceof LeaseRecord.Acquire acquire) {
            campaigns.refused(name, acquire.sequence());
        } else if (record instanceof LeaseRecord.Renew renew) {
            campaigns.refused(name, renew.sequence());
        }
    }

    private void lost(LeaseName name) {
        events.record(EventCode.LEASE_LOST, Map.of("lease", name));
        listener.onLost(name);
    }

    private void noticed(LogNotice notice) {
        if (notice instanceof LogNotice.Unavailable down) {
            events.record(
                    EventCode.LOG_DOWN,
                    Map.of("stream", "leases", "reason", down.failure().getMessage()));
        } else if (notice instanceof LogNotice.Available) {
            events.record(EventCode.LOG_UP, Map.of("stream", "leases"));
        } else if (started.isDone() || !(notice instanceof LogNotice.Trimmed)) {
            fold.setHistoryStart(time.instant(), term.multipliedBy(2));
        }
    }
}
