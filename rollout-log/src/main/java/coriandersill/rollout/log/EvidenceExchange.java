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

/** Sends the evidence of this process to the collectors and verdicts to every entry, and accepts evidence of peers. */
final class EvidenceExchange {
    private static final Duration MAX_REPORT_AGE = EvidenceTable.WINDOW.multipliedBy(6);

    private final RolloutServiceBuilder settings;
    private final EvidenceTable evidence;
    private final StoppedRollouts stoppedRollouts;
    private final ReportTimes reportTimes = new ReportTimes();
    private long lastReportedWindow = Long.MIN_VALUE;

    EvidenceExchange(RolloutServiceBuilder settings, EvidenceTable evidence, StoppedRollouts stoppedRollouts) {
        this.settings = settings;
        this.evidence = evidence;
        this.stoppedRollouts = stoppedRollouts;
    }

    boolean isCollector(ServiceName service) {
        return collectors(service).contains(settings.self);
    }

    /** Whether every live entry has reported within {@link #MAX_REPORT_AGE}. */
    boolean reportsComplete() {
        long now = settings.clock.millis();
        reportTimes.record(settings.self, now);
        return reportTimes.allReportedSince(settings.peers.entries(), now - MAX_REPORT_AGE.toMillis());
    }

    /**
     * Sends the counts of the previous window to the collectors of the service of each rollout, once per window. Counts
     * of zero are sent as well, since a collector treats a process without reports as missing.
     */
    void reportToCollectors(List<TrackedRollout> rollouts) {
        long window = evidence.currentWindow() - 1;
        if (window <= lastReportedWindow || !settings.peers.entries().contains(settings.self)) {
            return;
        }
        lastReportedWindow = window;
        EvidenceSummary summary = evidence.summaries().stream()
                .filter(candidate -> candidate.window() == window)
                .findFirst()
                .orElseGet(() -> new EvidenceSummary(settings.self, settings.incarnation, window, 0, Map.of()));
        for (TrackedRollout rollout : rollouts) {
            ServiceName service = rollout.plan().id().service();
            ObjectNode message = newMessageWithVerdicts();
            message.putArray("evidence").add(RolloutCodec.toNode(summary, service));
            sendToOthers(collectors(service), RolloutCodec.toBytes(message));
        }
    }

    void acceptEvidence(JsonNode node) {
        EvidenceSummary summary = RolloutCodec.toSummary(node);
        reportTimes.record(summary.source(), settings.clock.millis());
        evidence.accept(summary);
    }

    void broadcastVerdicts() {
        verdictMessage().ifPresent(message -> sendToOthers(settings.peers.entries(), message));
    }

    Optional<byte[]> verdictMessage() {
        return stoppedRollouts.verdicts().isEmpty()
                ? Optional.empty()
                : Optional.of(RolloutCodec.toBytes(newMessageWithVerdicts()));
    }

    private ObjectNode newMessageWithVerdicts() {
        ObjectNode message = RolloutCodec.newObject();
        List<RolloutVerdict> verdicts = stoppedRollouts.verdicts();
        if (!verdicts.isEmpty()) {
            ArrayNode array = message.putArray("verdicts");
            verdicts.forEach(verdict -> array.add(RolloutCodec.toNode(verdict)));
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
