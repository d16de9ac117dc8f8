package coriandersill.sidecar.internal;

import com.codahale.metrics.MetricRegistry;
import coriandersill.admission.AdmissionController;
import coriandersill.core.MonotonicClock;
import coriandersill.events.EventLog;
import coriandersill.sidecar.CallObserver;
import coriandersill.sidecar.DispatchCheck;
import coriandersill.sidecar.SidecarSettings;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;

/**
 * Settings and dependencies that the components of the sidecar share.
 *
 * @param settings the sidecar's settings
 * @param vertx the Vert.x instance of timers and of connections to the upstream
 * @param workers the pool on which admission runs
 * @param admission decides when a call is sent to the upstream
 * @param clock measures deadlines and latencies
 * @param dispatchCheck decides whether a dispatch may run at all
 * @param observer observes the ends of calls
 * @param events the event log
 * @param metrics the metric registry
 */
public record SidecarContext(
        SidecarSettings settings,
        Vertx vertx,
        WorkerPool workers,
        AdmissionController admission,
        MonotonicClock clock,
        DispatchCheck dispatchCheck,
        CallObserver observer,
        EventLog events,
        MetricRegistry metrics) {}
