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

/** HTTP client of the weight store. */
final class HttpWeightStore implements WeightStore {
    private final HttpExchange exchange;
    private final Duration requestTimeout;

    HttpWeightStore(HttpExchange exchange, Duration requestTimeout) {
        this.exchange = exchange;
        this.requestTimeout = requestTimeout;
    }

    @Override
    public CompletableFuture<Weights> load(String name) {
        String uri = "/weights/" + URLEncoder.encode(name, StandardCharsets.UTF_8);
        return exchange.send(HttpMethod.GET, uri, Buffer.buffer(), requestTimeout, ErrorKind.UNAVAILABLE)
                .thenApply(response -> decodeWeights("load weights " + name, response));
    }

    private static Weights decodeWeights(String operation, Response response) {
        try {
            JsonObject json = response.body().toJsonObject();
            return switch (response.status()) {
                case 200 -> new Weights(json.getString("name"), json.getLong("bytes"), json.getString("url"));
                case 404 -> throw CallFailure.of(ErrorKind.NOT_FOUND, json.getString("error"));
                case 429 -> throw CallFailure.of(ErrorKind.OVERLOADED, operation + ": rate limit exceeded")
                        .withRetryAfter(Duration.ofMillis(json.getLong("retryAfterMillis")));
                default -> throw CallFailure.of(
                        ErrorKind.UNAVAILABLE, operation + ": expected status 200, found " + response.status());
            };
        } catch (CallFailure failure) {
            throw failure;
        } catch (RuntimeException e) {
            throw CallFailure.of(ErrorKind.UNAVAILABLE, operation + ": invalid response: " + e.getMessage());
        }
    }
}
