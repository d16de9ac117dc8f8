package coriandersill.sharedlog.http;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.sharedlog.LogPage;
import coriandersill.sharedlog.LogRecord;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.http.internal.HttpExchange;
import coriandersill.sharedlog.http.internal.HttpExchange.Response;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** HTTP client of the log: JSON with Base64 data; reads use long polling. */
final class HttpLog implements PlatformLog {
    private final HttpExchange exchange;
    private final Duration requestTimeout;
    private final Duration longPollTimeout;

    HttpLog(HttpExchange exchange, Duration requestTimeout, Duration longPollTimeout) {
        this.exchange = exchange;
        this.requestTimeout = requestTimeout;
        this.longPollTimeout = longPollTimeout;
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<byte[]> records) {
        String operation = "append to stream " + stream;
        JsonArray encoded = new JsonArray();
        records.forEach(record -> encoded.add(Base64.getEncoder().encodeToString(record)));
        Buffer body = new JsonObject().put("records", encoded).toBuffer();
        return exchange.send(HttpMethod.POST, uri(stream), body, requestTimeout, ErrorKind.LOG_UNAVAILABLE)
                .thenApply(response -> {
                    if (response.status() == 200) {
                        return decodeJson(operation, response).getLong("first");
                    }
                    throw appendFailure(operation, response);
                });
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int limit) {
        String operation = "read stream " + stream + " from offset " + from;
        String uri = uri(stream) + "?from=" + from + "&limit=" + limit + "&waitMillis=" + longPollTimeout.toMillis();
        return exchange.send(
                        HttpMethod.GET,
                        uri,
                        Buffer.buffer(),
                        requestTimeout.plus(longPollTimeout),
                        ErrorKind.LOG_UNAVAILABLE)
                .thenApply(response -> {
                    if (response.status() == 200) {
                        return decodePage(operation, decodeJson(operation, response));
                    }
                    throw CallFailure.of(ErrorKind.LOG_UNAVAILABLE, statusMessage(operation, response));
                });
    }

    private static CallFailure appendFailure(String operation, Response response) {
        String message = statusMessage(operation, response);
        if (response.status() >= 400 && response.status() < 500) {
            return CallFailure.of(ErrorKind.INVALID_REQUEST, message + ": " + response.body());
        }
        // The server sends 503 with "taken": false only if it has appended nothing.
        boolean notAppended = response.status() == 503
                && Boolean.FALSE.equals(decodeJson(operation, response).getValue("taken"));
        return CallFailure.of(ErrorKind.LOG_UNAVAILABLE, message).withRan(notAppended ? Ran.NO : Ran.UNKNOWN);
    }

    private static LogPage decodePage(String operation, JsonObject json) {
        try {
            List<LogRecord> records = new ArrayList<>();
            for (Object element : json.getJsonArray("records")) {
                JsonObject record = (JsonObject) element;
                records.add(new LogRecord(
                        record.getLong("offset"),
                        Instant.parse(record.getString("time")),
                        Base64.getDecoder().decode(record.getString("data"))));
            }
            return new LogPage(json.getLong("oldest"), json.getLong("end"), records);
        } catch (RuntimeException e) {
            throw CallFailure.of(ErrorKind.LOG_UNAVAILABLE, operation + ": invalid page of records: " + e.getMessage());
        }
    }

    private static JsonObject decodeJson(String operation, Response response) {
        try {
            return response.body().toJsonObject();
        } catch (RuntimeException e) {
            throw CallFailure.of(ErrorKind.LOG_UNAVAILABLE, operation + ": expected a JSON response: " + e.getMessage())
                    .withRan(Ran.UNKNOWN);
        }
    }

    private static String statusMessage(String operation, Response response) {
        return operation + ": expected status 200, found " + response.status();
    }

    private static String uri(String stream) {
        return "/streams/" + URLEncoder.encode(stream, StandardCharsets.UTF_8) + "/records";
    }
}
