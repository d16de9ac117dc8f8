package coriandersill.daemon.internal;

import coriandersill.rollout.log.RolloutStatus;
import io.vertx.core.json.JsonObject;

/** Converts the status of a rollout to JSON for operators. */
final class RolloutReport {
    private RolloutReport() {}

    static JsonObject of(RolloutStatus status, double newVersionShare) {
        JsonObject report = new JsonObject()
                .put("service", status.plan().id().service().value())
                .put("declared_at", status.plan().id().declarationPosition())
                .put("from", status.plan().from().value())
                .put("to", status.plan().to().value())
                .put("deadline", status.plan().deadline().toString())
                .put("share", newVersionShare)
                .put("next_step", status.decisionReason())
                .put("judgement", status.judgement().toString());
        status.state()
                .ifPresent(state -> report.put("phase", state.phase().name()).put("evidence", state.reason()));
        status.localStop()
                .ifPresent(
                        stop -> report.put("stopped_by", stop.source().value()).put("stopped_for", stop.reason()));
        return report;
    }
}
