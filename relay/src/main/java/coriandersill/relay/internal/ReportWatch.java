package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.InstanceId;
import coriandersill.events.EventCode;
import coriandersill.relay.EngineReport;
import coriandersill.routing.OthersLoad;
import coriandersill.upstreams.Upstream;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Asks engines for their reports: what other entries run there, and, while the listings are too old to tell, whether
 * they leave.
 *
 * <p>Confined to one Vert.x context.
 */
final class ReportWatch {
    /** The age of the listings from which engines are asked more often. */
    private static final Duration OLD_LISTINGS = Duration.ofSeconds(1);

    /** How often an engine is asked where there are few. */
    private static final Duration PERIOD = Duration.ofSeconds(1);

    /** Each engine adds so much to the period, so that an entry's questions a second stay bounded. */
    private static final Duration PERIOD_EACH = Duration.ofMillis(100);

    /** How often an engine is asked whether it leaves, while the listings do not tell. */
    private static final Duration SHORT_PERIOD = Duration.ofMillis(400);

    private static final long STEP_MILLIS = 100;

    private final RelayParts parts;
    private final Map<InstanceId, Long> askedAt = new HashMap<>();

    ReportWatch(RelayParts parts) {
        this.parts = parts;
    }

    void start() {
        parts.vertx().setPeriodic(STEP_MILLIS, timer -> askThoseDue());
    }

    private void askThoseDue() {
        Duration age = parts.upstreams().age();
        boolean old = age.compareTo(OLD_LISTINGS) > 0;
        List<Upstream> engines = parts.choice().engines();
        long period = old ? SHORT_PERIOD.toNanos() : period(engines.size());
        long now = parts.clock().nanos();
        askedAt.keySet().retainAll(parts.upstreams().known());
        for (Upstream engine : engines) {
            // The first question comes at a random moment of the period, so that entries do not ask all at once.
            long asked = askedAt.computeIfAbsent(
                    engine.instance(), id -> now - parts.random().nextLong(period));
            if (now - asked >= period) {
                askedAt.put(engine.instance(), now);
                ask(engine, age);
            }
        }
    }

    private static long period(int engines) {
        return Math.max(PERIOD.toNanos(), PERIOD_EACH.toNanos() * engines);
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
                return;
            }
            parts.workers().executeOrRun(() -> parts.choice().others(engine, others(engine, report)));
            if (report.leaving() || report.leavesIn().isPresent()) {
                parts.upstreams().saysLeaving(engine.instance());
            }
        });
    }

    private OthersLoad others(Upstream engine, EngineReport report) {
        Set<String> own = parts.generations().ids(engine.instance());
        int runs = 0;
        long tokens = 0;
        for (EngineReport.ReportedRun run : report.runs()) {
            if (!own.contains(run.id())) {
                runs++;
                tokens += run.tokens();
            }
        }
        return new OthersLoad(runs, tokens, 0);
    }
}
