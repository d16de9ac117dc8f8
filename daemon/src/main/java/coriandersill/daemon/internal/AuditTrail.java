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
 * <p>Changes of configuration are themselves records of who, when and why on the stream {@code configuration}; this
 * stream adds what the system did of itself. Only the process that caused a change records it.
 */
final class AuditTrail {
    static final String STREAM = "audit";
    private static final Duration INTERVAL = Duration.ofMillis(100);

    private final DaemonResources host;
    private final InstanceId instance;
    private final BatchingAppender appender;

    private AuditTrail(DaemonResources host, InstanceId instance) {
        this.host = host;
        this.instance = instance;
        this.appender = BatchingAppender.builder(host.platform().log(), STREAM, host.scheduler())
                .executor(host.workers()::executeOrRun)
                .random(host.random())
                .interval(INTERVAL)
                .build();
    }

    static AuditTrail create(DaemonResources host, InstanceId instance) {
        return new AuditTrail(host, instance);
    }

    void record(String action, String subject, String detail) {
        JsonObject record = new JsonObject()
                .put("time", Instant.now().toString())
                .put("instance", instance.value())
                .put("action", action)
                .put("subject", subject)
                .put("detail", detail);
        appender.append(record.toBuffer().getBytes(), AppendMode.AT_LEAST_ONCE).exceptionally(error -> {
            host.events().record(EventCode.AUDIT_DROPPED, Map.of("record", record.encode()));
            return -1L;
        });
    }
}
