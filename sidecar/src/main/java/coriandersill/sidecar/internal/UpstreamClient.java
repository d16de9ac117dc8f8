package coriandersill.sidecar.internal;

import coriandersill.core.ManagedService;
import coriandersill.responses.ProcessEvidence;
import coriandersill.sidecar.SidecarSettings;
import coriandersill.wire.Message;
import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An HTTP client for one upstream.
 *
 * <p>Each call has a connection of its own: a faulty upstream may write an earlier answer once more, which on a
 * connection in use again would be taken for the answer of the next call.
 */
public final class UpstreamClient implements ManagedService {
    private static final int MAX_CONNECTIONS = 4_096;
    private static final int MAX_WAITING_REQUESTS = MAX_CONNECTIONS;
    private static final int MAX_INTERIM_RESPONSES = 16;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    /**
     * The size of the kernel's buffer for a request, so that a large one that the upstream does not take is known not
     * to be written; the default takes megabytes at once.
     */
    private static final int SEND_BUFFER_BYTES = 64 << 10;

    private final HttpClient client;
    private final SidecarSettings settings;

    private UpstreamClient(HttpClient client, SidecarSettings settings) {
        this.client = client;
        this.settings = settings;
    }

    /** Returns a client for the upstream in the settings. */
    public static UpstreamClient create(Vertx vertx, SidecarSettings settings) {
        HttpClientOptions options = new HttpClientOptions()
                .setKeepAlive(false)
                .setSendBufferSize(SEND_BUFFER_BYTES)
                .setReadIdleTimeout((int) settings.upstreamTimeout().toMillis())
                .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setMaxWaitQueueSize(MAX_WAITING_REQUESTS);
        return new UpstreamClient(vertx.createHttpClient(options, pool), settings);
    }

    /** Opens the request of a dispatch; if the future fails, no byte of the request was sent. */
    Future<HttpClientRequest> open(Message.Dispatch dispatch) {
        RequestOptions options = new RequestOptions()
                .setHost(settings.upstreamHost())
                .setPort(settings.upstreamPort())
                .setMethod(HttpMethod.valueOf(dispatch.request().method()))
                .setURI(dispatch.request().path());
        return client.request(options).map(request -> withHeaders(request, dispatch));
    }

    /**
     * Returns whether the upstream's process is known to run, which a new connection shows; a connection that fails for
     * whatever reason, a timeout included, shows nothing. The future does not fail.
     */
    Future<ProcessEvidence> processEvidence() {
        return connect().map(ProcessEvidence.RUNNING).otherwise(ProcessEvidence.NOT_KNOWN_TO_RUN);
    }

    /**
     * Returns whether the upstream's process is known to have ended, since its address refuses connections. A timeout
     * does not show that: a process that is too busy to accept a connection still runs. The future does not fail.
     */
    Future<Boolean> refusesConnections() {
        return connect()
                .map(false)
                .otherwise(error -> error instanceof ConnectException && !(error instanceof ConnectTimeoutException));
    }

    /** Opens a connection to the upstream and closes it. */
    private Future<Void> connect() {
        RequestOptions options =
                new RequestOptions().setHost(settings.upstreamHost()).setPort(settings.upstreamPort());
        return client.request(options)
                .onSuccess(request ->
                        // A reset before the request was sent would give the connection back to the pool.
                        request.connection().close())
                .mapEmpty();
    }

    /**
     * Sends the body and ends the request; resets it if the upstream sends interim responses (1xx) without end. The
     * future succeeds when the request is written whole.
     */
    static Future<Void> send(HttpClientRequest request, Message.Dispatch dispatch) {
        AtomicInteger interimResponses = new AtomicInteger();
        Runnable count = () -> {
            if (interimResponses.incrementAndGet() == MAX_INTERIM_RESPONSES) {
                request.reset();
            }
        };
        request.continueHandler(received -> count.run());
        request.earlyHintsHandler(received -> count.run());
        return request.end(Buffer.buffer(dispatch.request().body()));
    }

    private static HttpClientRequest withHeaders(HttpClientRequest request, Message.Dispatch dispatch) {
        dispatch.request().headers().forEach(header -> request.putHeader(header.name(), header.value()));
        request.putHeader("X-Request-Id", dispatch.attempt().callId().toString());
        return request;
    }

    @Override
    public CompletableFuture<Void> start() {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return client.close().toCompletionStage().toCompletableFuture();
    }
}
