package coriandersill.entry.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.wire.Message;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.util.List;

/** Collects a generation and answers it whole. */
final class AggregatedResponseSink implements ResponseSink {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpServerResponse response;
    private final boolean chat;
    private final String model;
    private final int promptTokens;
    private final StringBuilder text = new StringBuilder();
    private String id = "";
    private String reason = "stop";
    private int tokens;

    AggregatedResponseSink(HttpServerResponse response, boolean chat, String model, int promptTokens) {
        this.response = response;
        this.chat = chat;
        this.model = model;
        this.promptTokens = promptTokens;
    }

    @Override
    public void tokens(List<byte[]> payloads) {
        for (byte[] payload : payloads) {
            collect(payload);
        }
    }

    private void collect(byte[] payload) {
        try {
            JsonNode event = MAPPER.readTree(payload);
            JsonNode choice = event.path("choices").path(0);
            id = event.path("id").asText(id);
            text.append(
                    chat
                            ? choice.path("delta").path("content").asText("")
                            : choice.path("text").asText(""));
            reason = choice.path("finish_reason").asText(reason);
            tokens++;
        } catch (IOException e) {
            throw CallFailure.of(ErrorKind.UPSTREAM_ERROR, "event of the upstream: expected JSON, found other bytes");
        }
    }

    @Override
    public void finished() {
        ObjectNode answer = MAPPER.createObjectNode();
        answer.put("id", id);
        answer.put("object", chat ? "chat.completion" : "text_completion");
        answer.put("model", model);
        ObjectNode choice = answer.putArray("choices").addObject();
        choice.put("index", 0);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text.toString());
        } else {
            choice.put("text", text.toString());
        }
        choice.put("finish_reason", reason);
        ObjectNode usage = answer.putObject("usage");
        usage.put("prompt_tokens", promptTokens);
        usage.put("completion_tokens", tokens);
        usage.put("total_tokens", promptTokens + tokens);
        response.putHeader("Content-Type", "application/json");
        response.end(Buffer.buffer(answer.toString()));
    }

    @Override
    public void answered(Message.PlainResponse answer) {
        throw new IllegalStateException("a generation has no plain answer");
    }

    @Override
    public void failed(CallFailure failure) {
        ErrorResponses.fail(response, failure);
    }

    @Override
    public boolean ready(Runnable whenReady) {
        return true;
    }
}
