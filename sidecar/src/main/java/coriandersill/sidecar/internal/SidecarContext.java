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
 * What the gate works with.
 *
 * @param settings the sidecar's settings
 * @param vertx runs timers and the upstream's connections
 * @param workers run decisions
 * @param admission decides when a call goes to the upstream
 * @param clock times calls
 * @param check decides whether a call may run at all
 * @param observer hears how calls went
 * @param events takes events
 * @param metrics counts
 */
public record SidecarContext(
        SidecarSettings settings,
        Vertx vertx,
        WorkerPool workers,
        AdmissionController admission,
        MonotonicClock clock,
        DispatchCheck check,
        CallObserver observer,
        EventLog events,
        MetricRegistry metrics) {}
