package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.ManagedService;
import coriandersill.entry.EntrySettings.CallerLimits;
import coriandersill.entry.IdempotencyClaims;
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

/** The HTTP listener for callers: bounds what they send and hands whole requests to the handlers. */
public final class CallerHttpServer implements ManagedService {
    private final EntryContext entry;
    private final CompletionsHandler completions;
    private final PlainHandler plain;
    private final Map<HttpConnection, Long> silent = new ConcurrentHashMap<>();
    private HttpServer server;

    private CallerHttpServer(EntryContext entry, CallService calls, IdempotencyClaims onceOnly) {
        this.entry = entry;
        this.completions = new CompletionsHandler(calls);
        this.plain = new PlainHandler(calls, onceOnly);
    }

    static CallerHttpServer create(EntryContext entry, CallService calls, IdempotencyClaims onceOnly) {
        return new CallerHttpServer(entry, calls, onceOnly);
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
        server = entry.vertx()
                .createHttpServer(options)
                .connectionHandler(this::watch)
                .requestHandler(this::receive);
        return server.listen().<Void>mapEmpty().toCompletionStage().toCompletableFuture();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        if (server == null) {
            return CompletableFuture.completedFuture(null);
        }
        return server.close().toCompletionStage().toCompletableFuture();
    }

    /** Closes connections on which no request arrives in time. */
    private void watch(HttpConnection connection) {
        long millis = entry.settings().limits().requestTimeout().toMillis();
        silent.put(connection, entry.vertx().setTimer(millis, late -> {
            if (silent.remove(connection) != null) {
                connection.close();
            }
        }));
        connection.closeHandler(closed -> heard(connection));
    }

    private void heard(HttpConnection connection) {
        Long timer = silent.remove(connection);
        if (timer != null) {
            entry.vertx().cancelTimer(timer);
        }
    }

    private void receive(HttpServerRequest request) {
        heard(request.connection());
        entry.metrics().counter("http.requests").inc();
        int largest = entry.settings().limits().maxBodyBytes();
        Buffer body = Buffer.buffer();
        long timer = entry.vertx()
                .setTimer(
                        entry.settings().limits().requestTimeout().toMillis(),
                        late -> refuse(
                                request,
                                "body: expected it whole within "
                                        + entry.settings().limits().requestTimeout() + ", found " + body.length()
                                        + " bytes"));
        request.exceptionHandler(error -> entry.vertx().cancelTimer(timer));
        request.handler(part -> {
            if (body.length() + part.length() > largest) {
                entry.vertx().cancelTimer(timer);
                refuse(request, "body: expected at most " + largest + " bytes, found more");
            } else {
                body.appendBuffer(part);
            }
        });
        request.endHandler(end -> {
            entry.vertx().cancelTimer(timer);
            if (!request.response().ended()) {
                route(request, body.getBytes());
            }
        });
    }

    private static void refuse(HttpServerRequest request, String text) {
        if (request.response().ended()) {
            return;
        }
        request.handler(ignored -> {});
        request.response().putHeader("Connection", "close");
        ErrorResponses.fail(request.response(), CallFailure.of(ErrorKind.INVALID_REQUEST, text));
        request.response().endHandler(ended -> request.connection().close());
    }

    private void route(HttpServerRequest request, byte[] body) {
        String path = request.path() == null ? "" : request.path();
        boolean completion = path.equals("/v1/completions") || path.equals("/v1/chat/completions");
        if (completion && request.method().equals(HttpMethod.POST)) {
            completions.handle(request, body);
        } else if (completion) {
            ErrorResponses.fail(
                    request.response(),
                    CallFailure.of(
                            ErrorKind.INVALID_REQUEST,
                            "method of " + path + ": expected POST, found " + request.method()));
        } else if (path.startsWith(PlainHandler.PREFIX)) {
            plain.handle(request, body);
        } else {
            ErrorResponses.fail(
                    request.response(),
                    CallFailure.of(
                            ErrorKind.NOT_FOUND,
                            "path: expected /v1/completions, /v1/chat/completions or " + PlainHandler.PREFIX
                                    + "NAME/..., found " + path));
        }
    }
}
