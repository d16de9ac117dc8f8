package coriandersill.rollout.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.rollout.EvidenceCollectors;
import coriandersill.rollout.EvidenceSummary;
import coriandersill.rollout.EvidenceTable;
import coriandersill.rollout.RolloutVerdict;
import coriandersill.rollout.StoppedRollouts;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Sends this process's evidence to the collectors and verdicts to every entry, and takes in what peers send. */
final class EvidenceExchange {
    private static final Duration REPORT_AGE = EvidenceTable.WINDOW.multipliedBy(6);

    private final RolloutServiceBuilder settings;
    private final EvidenceTable table;
    private final StoppedRollouts stops;
    private final ReportTimes reports = new ReportTimes();
    private long lastReported = Long.MIN_VALUE;

    EvidenceExchange(RolloutServiceBuilder settings, EvidenceTable table, StoppedRollouts stops) {
        this.settings = settings;
        this.table = table;
        this.stops = stops;
    }

    boolean collects(ServiceName service) {
        return collectors(service).contains(settings.self);
    }

    /** Whether every live entry has reported lately. */
    boolean reportsComplete() {
        long now = settings.clock.millis();
        reports.reported(settings.self, now);
        return reports.complete(settings.peers.entries(), now - REPORT_AGE.toMillis());
    }

    /** Sends the counts of the window that has just ended, once, to the collectors of each rollout's service. */
    void report(List<RolloutTrack> tracks) {
        long window = table.currentWindow() - 1;
        if (window <= lastReported || !settings.peers.entries().contains(settings.self)) {
            return;
        }
        lastReported = window;
        EvidenceSummary summary = table.summaries().stream()
                .filter(candidate -> candidate.window() == window)
                .findFirst()
                .orElseGet(() -> new EvidenceSummary(settings.self, settings.incarnation, window, 0, Map.of()));
        for (RolloutTrack track : tracks) {
            ServiceName service = track.plan().id().service();
            ObjectNode message = withVerdicts();
            message.putArray("evidence").add(RolloutCodec.node(summary, service));
            sendToOthers(collectors(service), RolloutCodec.bytes(message));
        }
    }

    void accept(JsonNode node) {
        EvidenceSummary summary = RolloutCodec.summary(node);
        reports.reported(summary.source(), settings.clock.millis());
        table.accept(summary);
    }

    void spreadVerdicts() {
        verdictMessage().ifPresent(message -> sendToOthers(settings.peers.entries(), message));
    }

    Optional<byte[]> verdictMessage() {
        return stops.verdicts().isEmpty() ? Optional.empty() : Optional.of(RolloutCodec.bytes(withVerdicts()));
    }

    private ObjectNode withVerdicts() {
        ObjectNode message = RolloutCodec.object();
        List<RolloutVerdict> verdicts = stops.verdicts();
        if (!verdicts.isEmpty()) {
            ArrayNode array = message.putArray("verdicts");
            verdicts.forEach(verdict -> array.add(RolloutCodec.node(verdict)));
        }
        return message;
    }

    private List<InstanceId> collectors(ServiceName service) {
        return EvidenceCollectors.of(service, settings.peers.entries());
    }

    private void sendToOthers(Collection<InstanceId> targets, byte[] message) {
        targets.stream()
                .filter(target -> !target.equals(settings.self))
                .forEach(target -> settings.peers.send(target, message));
    }
}
