package coriandersill.entry.internal;

import com.codahale.metrics.MetricRegistry;
import coriandersill.configuration.Configuration;
import coriandersill.core.MonotonicClock;
import coriandersill.entry.AttemptObserver;
import coriandersill.entry.EntrySettings;
import coriandersill.entry.VersionSelector;
import coriandersill.events.EventLog;
import coriandersill.events.Loops;
import coriandersill.quarantine.PromptQuarantine;
import coriandersill.quota.WorkspaceQuota;
import coriandersill.routing.RetryPolicy;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Settings and dependencies that the components of the entry share.
 *
 * @param settings the entry's settings
 * @param vertx the Vert.x instance of the HTTP listener and of timers
 * @param workers the pool that runs work off the event loops
 * @param configuration supplies the accepted configuration
 * @param configurationPosition supplies the configuration position that pings carry
 * @param versionSelector selects the version that serves a call
 * @param retryPolicy decides whether a failed attempt is retried
 * @param quota limits the calls and tokens of each workspace
 * @param quarantine refuses generations whose prompts crash upstreams
 * @param observer observes the results of attempts
 * @param clock measures deadlines and latencies
 * @param random generates call ids and delays
 * @param events the event log
 * @param metrics the metric registry
 * @param loops the registry of the process's loops
 */
public record EntryContext(
        EntrySettings settings,
        Vertx vertx,
        WorkerPool workers,
        Supplier<Configuration> configuration,
        LongSupplier configurationPosition,
        VersionSelector versionSelector,
        RetryPolicy retryPolicy,
        WorkspaceQuota quota,
        PromptQuarantine quarantine,
        AttemptObserver observer,
        MonotonicClock clock,
        RandomGenerator random,
        EventLog events,
        MetricRegistry metrics,
        Loops loops) {}
