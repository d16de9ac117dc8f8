package coriandersill.entry.internal;

import coriandersill.connections.GuardedPort;
import coriandersill.connections.ProcessLimits;
import coriandersill.connections.RequestLimits;
import coriandersill.core.BodyMemory;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.ManagedService;
import coriandersill.entry.EntrySettings.CallerLimits;
import coriandersill.entry.IdempotencyClaims;
import coriandersill.events.CallGuard;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The HTTP server for callers: limits the size and duration of requests and passes complete requests to the handlers.
 */
public final class CallerHttpServer implements ManagedService {
    private final EntryContext entry;
    private final CompletionsHandler completionsHandler;
    private final PlainHandler plainHandler;
    private final Map<HttpConnection, Long> firstRequestTimers = new ConcurrentHashMap<>();
    private final BodyMemory bodyMemory;
    private final GuardedPort port;
    private HttpServer server;

    private CallerHttpServer(EntryContext entry, CallService calls, IdempotencyClaims idempotencyClaims) {
        this.entry = entry;
        WholeResponses responses = WholeResponses.of(entry);
        ProcessLimits processLimits = entry.settings().limits().process();
        this.bodyMemory = new BodyMemory(processLimits.sharedBytes());
        this.port = new GuardedPort(
                        "entry",
                        processLimits.maxCallerConnections(),
                        () -> requestLimits(entry.settings().limits()),
                        bodyMemory,
                        entry.clock(),
                        entry.events())
                .relieve(bodyMemory)
                .register(entry.metrics());
        this.completionsHandler = new CompletionsHandler(calls, responses);
        this.plainHandler = new PlainHandler(calls, responses, idempotencyClaims);
    }

    private static RequestLimits requestLimits(CallerLimits limits) {
        return new RequestLimits(
                limits.maxHeaderBytes(), limits.maxBodyBytes(), limits.requestTimeout(), limits.requestTimeout());
    }

    static CallerHttpServer create(EntryContext entry, CallService calls, IdempotencyClaims idempotencyClaims) {
        return new CallerHttpServer(entry, calls, idempotencyClaims);
    }

    int port() {
        return server.actualPort();
    }

    @Override
    public CompletableFuture<Void> start() {
        CallerLimits limits = entry.settings().limits();
        HttpServerOptions options = new HttpServerOptions()
                .setHost(entry.settings().host())
                .setPort(entry.settings().port())
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setTcpNoDelay(true)
                .setReuseAddress(true);
        options.getInitialSettings().setMaxHeaderListSize(limits.maxHeaderBytes());
        port.start(entry.vertx());
        server = entry.vertx()
                .createHttpServer(options)
                .connectionHandler(connection -> {
                    limitTimeToFirstRequest(connection);
                    port.add(connection);
                })
                .requestHandler(this::handleRequest);
        return server.listen().<Void>mapEmpty().toCompletionStage().toCompletableFuture();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        if (server == null) {
            return CompletableFuture.completedFuture(null);
        }
        return server.close().toCompletionStage().toCompletableFuture();
    }

    /** Closes a connection if the head of its first request does not arrive within the request timeout. */
    private void limitTimeToFirstRequest(HttpConnection connection) {
        long millis = entry.settings().limits().requestTimeout().toMillis();
        firstRequestTimers.put(connection, entry.vertx().setTimer(millis, fired -> {
            if (firstRequestTimers.remove(connection) != null) {
                connection.close();
            }
        }));
        connection.closeHandler(closed -> cancelFirstRequestTimer(connection));
    }

    private void cancelFirstRequestTimer(HttpConnection connection) {
        Long timer = firstRequestTimers.remove(connection);
        if (timer != null) {
            entry.vertx().cancelTimer(timer);
        }
    }

    private void handleRequest(HttpServerRequest request) {
        cancelFirstRequestTimer(request.connection());
        entry.metrics().counter("http.requests").inc();
        int maxBytes = entry.settings().limits().maxBodyBytes();
        Buffer body = Buffer.buffer();
        ReceivedBytes received = new ReceivedBytes(bodyMemory, request.connection());
        CallGuard guard = ErrorResponses.guard(entry.events(), request.response());
        long timer = entry.vertx()
                .setTimer(
                        entry.settings().limits().requestTimeout().toMillis(),
                        fired -> guard.run(() -> rejectAndClose(
                                request,
                                "body: expected it whole within "
                                        + entry.settings().limits().requestTimeout() + ", found " + body.length()
                                        + " bytes")));
        request.exceptionHandler(error -> {
            entry.vertx().cancelTimer(timer);
            received.release();
        });
        request.handler(part -> {
            if (body.length() + part.length() > maxBytes) {
                entry.vertx().cancelTimer(timer);
                rejectAndClose(request, "body: expected at most " + maxBytes + " bytes, found more");
            } else if (!received.tryAdd(part.length())) {
                entry.vertx().cancelTimer(timer);
                rejectAndClose(
                        request,
                        CallFailure.of(ErrorKind.OVERLOADED, "body: no memory for the bodies of further calls"));
            } else {
                body.appendBuffer(part);
            }
        });
        request.endHandler(end -> {
            entry.vertx().cancelTimer(timer);
            received.release();
            if (!request.response().ended()) {
                guard.run(() -> route(request, body.getBytes()));
            }
        });
    }

    private static void rejectAndClose(HttpServerRequest request, String text) {
        rejectAndClose(request, CallFailure.of(ErrorKind.INVALID_REQUEST, text));
    }

    private static void rejectAndClose(HttpServerRequest request, CallFailure failure) {
        if (request.response().ended()) {
            return;
        }
        request.handler(ignored -> {});
        request.response().putHeader("Connection", "close");
        ErrorResponses.send(request.response(), failure);
        request.response().endHandler(ended -> request.connection().close());
    }

    private void route(HttpServerRequest request, byte[] body) {
        String path = request.path() == null ? "" : request.path();
        boolean completion = path.equals("/v1/completions") || path.equals("/v1/chat/completions");
        if (completion && request.method().equals(HttpMethod.POST)) {
            completionsHandler.handle(request, body);
        } else if (completion) {
            ErrorResponses.send(
                    request.response(),
                    CallFailure.of(
                            ErrorKind.INVALID_REQUEST,
                            "method of " + path + ": expected POST, found " + request.method()));
        } else if (path.startsWith(PlainHandler.PATH_PREFIX)) {
            plainHandler.handle(request, body);
        } else {
            ErrorResponses.send(
                    request.response(),
                    CallFailure.of(
                            ErrorKind.NOT_FOUND,
                            "path: expected /v1/completions, /v1/chat/completions or " + PlainHandler.PATH_PREFIX
                                    + "NAME/..., found " + path));
        }
    }
}
