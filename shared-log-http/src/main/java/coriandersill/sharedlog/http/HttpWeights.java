package coriandersill.sharedlog.http;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.sharedlog.WeightStore;
import coriandersill.sharedlog.http.internal.HttpExchange;
import coriandersill.sharedlog.http.internal.HttpExchange.Response;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** The weight store over HTTP. */
final class HttpWeights implements WeightStore {
    private final HttpExchange exchange;
    private final Duration requestTimeout;

    HttpWeights(HttpExchange exchange, Duration deadline) {
        this.exchange = exchange;
        this.requestTimeout = deadline;
    }

    @Override
    public CompletableFuture<Weights> load(String name) {
        String uri = "/weights/" + URLEncoder.encode(name, StandardCharsets.UTF_8);
        return exchange.send(HttpMethod.GET, uri, Buffer.buffer(), requestTimeout, ErrorKind.UNAVAILABLE)
                .thenApply(HttpWeights::decodeWeights);
    }

    private static Weights decodeWeights(Response answer) {
        try {
            JsonObject json = answer.body().toJsonObject();
            return switch (answer.status()) {
                case 200 -> new Weights(json.getString("name"), json.getLong("bytes"), json.getString("url"));
                case 404 -> throw CallFailure.of(ErrorKind.NOT_FOUND, json.getString("error"));
                case 429 -> throw CallFailure.of(ErrorKind.OVERLOADED, "weight store is at its rate limit")
                        .withRetryAfter(Duration.ofMillis(json.getLong("retryAfterMillis")));
                default -> throw CallFailure.of(ErrorKind.UNAVAILABLE, "weight store answered " + answer.status());
            };
        } catch (CallFailure failure) {
            throw failure;
        } catch (RuntimeException e) {
            throw CallFailure.of(ErrorKind.UNAVAILABLE, "weight store's answer cannot be read: " + e.getMessage());
        }
    }
}
