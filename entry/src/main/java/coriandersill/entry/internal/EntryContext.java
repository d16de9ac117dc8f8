package coriandersill.entry.internal;

import com.codahale.metrics.MetricRegistry;
import coriandersill.configuration.Configuration;
import coriandersill.core.MonotonicClock;
import coriandersill.entry.AttemptObserver;
import coriandersill.entry.EntrySettings;
import coriandersill.entry.VersionSelector;
import coriandersill.events.EventLog;
import coriandersill.quota.WorkspaceQuota;
import coriandersill.routing.RetryPolicy;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * What the parts of the entry work with.
 *
 * @param settings the entry's settings
 * @param vertx runs the HTTP listener and timers
 * @param workers run decisions
 * @param configuration the accepted configuration
 * @param configurationOffset the position of the proven configuration, for pings
 * @param versionSelector chooses versions
 * @param retryPolicy decides whether an attempt is followed by another
 * @param quota holds workspaces to their caps
 * @param observer hears how attempts went
 * @param clock times calls
 * @param random draws identities and delays
 * @param events takes events
 * @param metrics counts
 */
public record EntryContext(
        EntrySettings settings,
        Vertx vertx,
        WorkerPool workers,
        Supplier<Configuration> configuration,
        LongSupplier configurationOffset,
        VersionSelector versionSelector,
        RetryPolicy retryPolicy,
        WorkspaceQuota quota,
        AttemptObserver observer,
        MonotonicClock clock,
        RandomGenerator random,
        EventLog events,
        MetricRegistry metrics) {}
