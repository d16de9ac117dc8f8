package coriandersill.daemon.internal;

import coriandersill.core.InstanceId;
import coriandersill.events.EventCode;
import coriandersill.sharedlog.AppendMode;
import coriandersill.sharedlog.BatchingAppender;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/**
 * Writes audit records to the log's stream {@code audit}.
 *
 * <p>This stream records automatic actions only, because the stream {@code configuration} contains the author, time and
 * reason of every change by an operator. Only the process that caused an action records it.
 */
final class AuditTrail {
    static final String STREAM = "audit";
    /** How long the first record of a batch waits for more records. */
    private static final Duration LINGER = Duration.ofMillis(100);

    private final DaemonResources resources;
    private final InstanceId instance;
    private final BatchingAppender appender;

    private AuditTrail(DaemonResources resources, InstanceId instance) {
        this.resources = resources;
        this.instance = instance;
        this.appender = BatchingAppender.builder(resources.platform().log(), STREAM, resources.scheduler())
                .executor(resources.workers()::executeOrRun)
                .random(resources.random())
                .linger(LINGER)
                .guard(resources.loops().register("appends to the audit trail", BatchingAppender.STALL_BOUND))
                .build();
    }

    static AuditTrail create(DaemonResources resources, InstanceId instance) {
        return new AuditTrail(resources, instance);
    }

    void record(String action, String subject, String detail) {
        JsonObject record = new JsonObject()
                .put("time", Instant.now().toString())
                .put("instance", instance.value())
                .put("action", action)
                .put("subject", subject)
                .put("detail", detail);
        appender.append(record.toBuffer().getBytes(), AppendMode.AT_LEAST_ONCE).exceptionally(error -> {
            resources.events().record(EventCode.AUDIT_DROPPED, Map.of("record", record.encode()));
            return -1L;
        });
    }
}
