package coriandersill.relay.internal;

import coriandersill.core.BodyMemory;
import coriandersill.core.MonotonicClock;
import coriandersill.events.EventLog;
import coriandersill.quarantine.PromptQuarantine;
import coriandersill.relay.CallCodec;
import coriandersill.relay.EngineControl;
import coriandersill.relay.ExecutionListener;
import coriandersill.relay.RelaySettings;
import coriandersill.rollout.OrderedRollouts;
import coriandersill.routing.SlowEngines;
import coriandersill.upstreams.UpstreamTable;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.util.random.RandomGenerator;

/** The components that all calls of a relay share. */
record RelayComponents(
        Vertx vertx,
        HttpClient client,
        WorkerPool workers,
        RelaySettings settings,
        CallPlanner planner,
        UpstreamSelector selector,
        LoadReader loadReader,
        ClaimedLoads claimedLoads,
        StatementObserver statements,
        CrashDetector crashDetector,
        PromptQuarantine quarantine,
        OrderedRollouts rollouts,
        SlowEngines slowEngines,
        UpstreamTable upstreams,
        CallCodec codec,
        EngineControl engineControl,
        RetryPolicies retryPolicies,
        GenerationTable generations,
        OpenCalls openCalls,
        BodyMemory bodyMemory,
        RelayMetrics metrics,
        MonotonicClock clock,
        RandomGenerator random,
        EventLog events,
        DispatchQueue dispatchQueue,
        EngineRequestPriority requestPriority,
        PromptPartLearning promptParts,
        ExecutionListener executions) {}
