package coriandersill.sharedlog.http;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.sharedlog.InstanceList;
import coriandersill.sharedlog.InstanceRegistry;
import coriandersill.sharedlog.ListedInstance;
import coriandersill.sharedlog.http.internal.HttpExchange;
import coriandersill.sharedlog.http.internal.HttpExchange.Response;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** HTTP client of the instance list: reads it, and registers instances in it. */
final class HttpInstanceRegistry implements InstanceList, InstanceRegistry {
    private static final int MAX_PORT = 65_535;

    private final HttpExchange exchange;
    private final Duration requestTimeout;

    HttpInstanceRegistry(HttpExchange exchange, Duration requestTimeout) {
        this.exchange = exchange;
        this.requestTimeout = requestTimeout;
    }

    @Override
    public CompletableFuture<List<ListedInstance>> read() {
        return exchange.send(HttpMethod.GET, "/instances", Buffer.buffer(), requestTimeout, ErrorKind.UNAVAILABLE)
                .thenApply(response -> requireOk("read the instance list", response))
                .thenApply(HttpInstanceRegistry::decodeInstances);
    }

    @Override
    public CompletableFuture<Void> register(ListedInstance instance) {
        JsonObject body = new JsonObject()
                .put("role", instance.role())
                .put("zone", instance.zone().value())
                .put("host", instance.host())
                .put("port", instance.port())
                .put("leaving", instance.leaving());
        instance.service().ifPresent(service -> body.put("service", service.value()));
        instance.version().ifPresent(version -> body.put("version", version.value()));
        String uri = "/instances/" + instance.id().value();
        return exchange.send(HttpMethod.PUT, uri, body.toBuffer(), requestTimeout, ErrorKind.UNAVAILABLE)
                .thenApply(response -> requireOk("register instance " + instance.id(), response))
                .thenAccept(response -> {});
    }

    private static Response requireOk(String operation, Response response) {
        if (response.status() != 200) {
            throw CallFailure.of(
                    ErrorKind.UNAVAILABLE, operation + ": expected status 200, found " + response.status());
        }
        return response;
    }

    private static List<ListedInstance> decodeInstances(Response response) {
        try {
            List<ListedInstance> all = new ArrayList<>();
            for (Object element : response.body().toJsonObject().getJsonArray("instances")) {
                decodeOrSkip(element).ifPresent(all::add);
            }
            return all;
        } catch (RuntimeException e) {
            throw CallFailure.of(ErrorKind.UNAVAILABLE, "read the instance list: invalid response: " + e.getMessage());
        }
    }

    /** Decodes an instance; empty if it is malformed, so that it does not hide the others. */
    private static Optional<ListedInstance> decodeOrSkip(Object element) {
        try {
            return Optional.of(decodeInstance((JsonObject) element));
        } catch (RuntimeException malformed) {
            return Optional.empty();
        }
    }

    private static ListedInstance decodeInstance(JsonObject json) {
        int port = json.getInteger("port");
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port: expected 1 to " + MAX_PORT + ", found " + port);
        }
        return new ListedInstance(
                InstanceId.of(json.getString("id")),
                json.getString("role"),
                AvailabilityZone.of(json.getString("zone")),
                json.getString("host"),
                port,
                json.getBoolean("leaving", false),
                Optional.ofNullable(json.getString("service")).map(ServiceName::of),
                Optional.ofNullable(json.getString("version")).map(VersionName::of));
    }
}
