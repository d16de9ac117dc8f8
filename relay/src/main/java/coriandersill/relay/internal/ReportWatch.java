package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.events.EventCode;
import coriandersill.upstreams.Upstream;
import java.time.Duration;
import java.util.Map;

/** Asks the engines themselves whether they leave, while the listings are too old to tell. */
final class ReportWatch {
    /** The age of the listings from which engines are asked. */
    private static final Duration OLD_LISTINGS = Duration.ofSeconds(1);

    /** How often they are asked then. */
    private static final long PERIOD_MILLIS = 400;

    private final RelayParts parts;

    ReportWatch(RelayParts parts) {
        this.parts = parts;
    }

    void start() {
        parts.vertx().setPeriodic(PERIOD_MILLIS, timer -> {
            Duration age = parts.upstreams().age();
            if (age.compareTo(OLD_LISTINGS) > 0) {
                for (Upstream engine : parts.upstreams().all()) {
                    if (parts.generations().any(engine.instance())) {
                        ask(engine, age);
                    }
                }
            }
        });
    }

    private void ask(Upstream engine, Duration age) {
        parts.engines().report(engine).whenComplete((report, error) -> {
            if (error != null) {
                parts.events()
                        .record(
                                EventCode.ENGINE_SILENT,
                                Map.of(
                                        "engine", engine.instance(),
                                        "detail",
                                                String.valueOf(
                                                        CallFailure.from(error).getMessage()),
                                        "listings_age_ms", age.toMillis()));
            } else if (report.leaving() || report.leavesIn().isPresent()) {
                parts.upstreams().saysLeaving(engine.instance());
            }
        });
    }
}
