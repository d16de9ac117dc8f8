package coriandersill.daemon.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coriandersill.core.InstanceId;
import coriandersill.core.WorkspaceName;
import coriandersill.quarantine.CallTraits;
import coriandersill.quarantine.CrashReport;
import coriandersill.quarantine.EngineIncarnation;
import coriandersill.quarantine.PromptPart;
import coriandersill.quarantine.PromptQuarantine;
import coriandersill.quarantine.QuarantineExchange;
import coriandersill.quarantine.QuarantineVerdict;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Sends crash reports, verdicts and acquittals to the other entries as JSON messages, and applies theirs. */
final class QuarantineMessages implements QuarantineExchange {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The field that tells these messages from those of rollouts; its value is the kind of message. */
    private static final String KIND = "quarantine";

    private final Consumer<byte[]> sender;

    /** Creates an exchange; {@code sender} sends a message to all other entries. */
    QuarantineMessages(Consumer<byte[]> sender) {
        this.sender = sender;
    }

    @Override
    public void publish(CrashReport report) {
        ObjectNode node = MAPPER.createObjectNode().put(KIND, "crash");
        node.put("engine", report.engine().instance().value());
        node.put("started", report.engine().startedAtMillis());
        node.put("entry", report.reporter().value());
        ArrayNode calls = node.putArray("calls");
        report.suspects().forEach(traits -> calls.add(toNode(traits)));
        send(node);
    }

    @Override
    public void publish(QuarantineVerdict verdict) {
        ObjectNode node = MAPPER.createObjectNode().put(KIND, "verdict");
        node.put("part", verdict.part().id());
        node.set("scope", toNode(verdict.scope()));
        node.put("crashes", verdict.crashes());
        ArrayNode engines = node.putArray("engines");
        verdict.engines().forEach(engine -> engines.add(engine.value()));
        node.put("entry", verdict.reporter().value());
        send(node);
    }

    @Override
    public void publishAcquittal(PromptPart part) {
        send(MAPPER.createObjectNode().put(KIND, "acquittal").put("part", part.id()));
    }

    /**
     * Applies a message of another entry; returns false if it is none of these messages.
     *
     * @throws IllegalArgumentException if it is one, but invalid
     */
    static boolean apply(byte[] data, PromptQuarantine quarantine) {
        JsonNode node;
        try {
            node = MAPPER.readTree(data);
        } catch (IOException notJson) {
            return false;
        }
        switch (node.path(KIND).asText()) {
            case "crash" -> quarantine.recordCrash(toReport(node));
            case "verdict" -> quarantine.adopt(toVerdict(node));
            case "acquittal" -> quarantine.acquit(
                    PromptPart.of(node.path("part").asText()));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void send(ObjectNode node) {
        try {
            sender.accept(MAPPER.writeValueAsBytes(node));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("a tree of texts and numbers can be written", impossible);
        }
    }

    private static CrashReport toReport(JsonNode node) {
        List<CallTraits> calls = new ArrayList<>();
        node.path("calls").forEach(call -> calls.add(toTraits(call)));
        return new CrashReport(
                new EngineIncarnation(
                        InstanceId.of(node.path("engine").asText()),
                        node.path("started").asLong()),
                InstanceId.of(node.path("entry").asText()),
                calls);
    }

    private static QuarantineVerdict toVerdict(JsonNode node) {
        List<InstanceId> engines = new ArrayList<>();
        node.path("engines").forEach(engine -> engines.add(InstanceId.of(engine.asText())));
        return new QuarantineVerdict(
                PromptPart.of(node.path("part").asText()),
                toTraits(node.path("scope")),
                node.path("crashes").asInt(),
                engines,
                InstanceId.of(node.path("entry").asText()));
    }

    private static ObjectNode toNode(CallTraits traits) {
        ObjectNode node = MAPPER.createObjectNode();
        traits.workspace().ifPresent(workspace -> node.put("workspace", workspace.value()));
        ArrayNode parts = node.putArray("parts");
        traits.parts().forEach(part -> parts.add(part.id()));
        return node;
    }

    private static CallTraits toTraits(JsonNode node) {
        Optional<WorkspaceName> workspace = node.path("workspace").isTextual()
                ? Optional.of(WorkspaceName.of(node.path("workspace").asText()))
                : Optional.empty();
        List<PromptPart> parts = new ArrayList<>();
        node.path("parts").forEach(part -> PromptPart.parse(part.asText()).ifPresent(parts::add));
        return CallTraits.of(workspace, parts);
    }
}
