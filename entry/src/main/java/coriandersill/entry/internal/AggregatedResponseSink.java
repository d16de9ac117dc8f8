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
import java.util.function.Consumer;

/** Collects a generation and writes it as one JSON document. */
final class AggregatedResponseSink implements ResponseSink {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpServerResponse httpResponse;
    private final Consumer<Buffer> end;
    private final boolean chat;
    private final String model;
    private final int promptTokens;
    private final StringBuilder text = new StringBuilder();
    private String id = "";
    private String finishReason = "stop";
    private int tokenCount;

    AggregatedResponseSink(
            HttpServerResponse response, Consumer<Buffer> end, boolean chat, String model, int promptTokens) {
        this.httpResponse = response;
        this.end = end;
        this.chat = chat;
        this.model = model;
        this.promptTokens = promptTokens;
    }

    @Override
    public void onTokens(List<byte[]> payloads) {
        for (byte[] payload : payloads) {
            append(payload);
        }
    }

    private void append(byte[] payload) {
        try {
            JsonNode event = MAPPER.readTree(payload);
            JsonNode choice = event.path("choices").path(0);
            id = event.path("id").asText(id);
            text.append(
                    chat
                            ? choice.path("delta").path("content").asText("")
                            : choice.path("text").asText(""));
            finishReason = choice.path("finish_reason").asText(finishReason);
            tokenCount++;
        } catch (IOException e) {
            throw CallFailure.of(ErrorKind.UPSTREAM_ERROR, "event of the upstream: expected JSON, found other bytes");
        }
    }

    @Override
    public void onFinished() {
        ObjectNode completion = MAPPER.createObjectNode();
        completion.put("id", id);
        completion.put("object", chat ? "chat.completion" : "text_completion");
        completion.put("model", model);
        ObjectNode choice = completion.putArray("choices").addObject();
        choice.put("index", 0);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text.toString());
        } else {
            choice.put("text", text.toString());
        }
        choice.put("finish_reason", finishReason);
        ObjectNode usage = completion.putObject("usage");
        usage.put("prompt_tokens", promptTokens);
        usage.put("completion_tokens", tokenCount);
        usage.put("total_tokens", promptTokens + tokenCount);
        httpResponse.putHeader("Content-Type", "application/json");
        end.accept(Buffer.buffer(completion.toString()));
    }

    @Override
    public void onResponse(Message.PlainResponse response) {
        throw new IllegalStateException("unexpected plain response to a generation");
    }

    @Override
    public void onFailure(CallFailure failure) {
        ErrorResponses.send(httpResponse, failure);
    }

    @Override
    public void abort() {
        httpResponse.reset();
    }

    @Override
    public boolean checkWritable(Runnable whenWritable) {
        return true;
    }
}
