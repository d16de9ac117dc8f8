package coriandersill.sharedlog.http;

import coriandersill.core.ManagedService;
import coriandersill.sharedlog.InstanceList;
import coriandersill.sharedlog.InstanceRegistry;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.WeightStore;
import coriandersill.sharedlog.http.internal.HttpExchange;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * HTTP clients of the platform's services.
 *
 * <pre>{@code
 * HttpPlatformClient platform = HttpPlatformClient.builder(vertx, "127.0.0.1", 7070).executor(workers).build();
 * PlatformLog log = platform.log();
 * }</pre>
 *
 * <p>Thread-safe. Every request has a timeout, and every response body a maximum size.
 */
public final class HttpPlatformClient implements ManagedService {
    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final int MAX_QUEUED_REQUESTS = 1_024;

    private final HttpClient client;
    private final HttpExchange exchange;
    private final Duration requestTimeout;
    private final Duration longPollTimeout;

    private HttpPlatformClient(Builder builder) {
        HttpClientOptions options = new HttpClientOptions()
                .setDefaultHost(builder.host)
                .setDefaultPort(builder.port)
                .setConnectTimeout((int) Math.min(Integer.MAX_VALUE, builder.requestTimeout.toMillis()))
                .setMaxHeaderSize(MAX_HEADER_BYTES);
        PoolOptions pool =
                new PoolOptions().setHttp1MaxSize(builder.maxConnections).setMaxWaitQueueSize(MAX_QUEUED_REQUESTS);
        this.client = builder.vertx.createHttpClient(options, pool);
        this.exchange = new HttpExchange(builder.vertx, client, builder.executor, builder.maxBodyBytes);
        this.requestTimeout = builder.requestTimeout;
        this.longPollTimeout = builder.longPollTimeout;
    }

    /** Returns a builder for the clients of the platform at an address. */
    public static Builder builder(Vertx vertx, String host, int port) {
        return new Builder(vertx, host, port);
    }

    /** Returns the client of the log. */
    public PlatformLog log() {
        return new HttpLog(exchange, requestTimeout, longPollTimeout);
    }

    /** Returns the client of the instance list. */
    public InstanceList instanceList() {
        return new HttpInstanceRegistry(exchange, requestTimeout);
    }

    /** Returns the client with which this instance registers itself and renews its registration. */
    public InstanceRegistry registry() {
        return new HttpInstanceRegistry(exchange, requestTimeout);
    }

    /** Returns the client of the weight store. */
    public WeightStore weightStore() {
        return new HttpWeightStore(exchange, requestTimeout);
    }

    /** Returns the total size in bytes of all response bodies received so far. */
    public long receivedBytes() {
        return exchange.receivedBytes();
    }

    @Override
    public CompletableFuture<Void> start() {
        return CompletableFuture.completedFuture(null);
    }

    /** Closes the connections; requests in flight fail. */
    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return client.close().toCompletionStage().toCompletableFuture();
    }

    /** Collects the settings of an {@link HttpPlatformClient}. */
    public static final class Builder {
        private final Vertx vertx;
        private final String host;
        private final int port;
        private Executor executor = Runnable::run;
        private Duration requestTimeout = Duration.ofSeconds(2);
        private Duration longPollTimeout = Duration.ofSeconds(10);
        private int maxBodyBytes = 16 << 20;
        private int maxConnections = 16;

        private Builder(Vertx vertx, String host, int port) {
            this.vertx = Objects.requireNonNull(vertx, "vertx");
            this.host = Objects.requireNonNull(host, "host");
            this.port = port;
        }

        /**
         * Sets the executor that processes responses; by default, and if the executor rejects the task, the event loop.
         */
        public Builder executor(Executor value) {
            this.executor = Objects.requireNonNull(value, "executor");
            return this;
        }

        /** Sets the timeout of a request, to which reads of the log add the long-poll timeout; 2 s by default. */
        public Builder requestTimeout(Duration value) {
            this.requestTimeout = Objects.requireNonNull(value, "requestTimeout");
            return this;
        }

        /** Sets how long the server holds a read of the log until there is a record; 10 s by default. */
        public Builder longPollTimeout(Duration value) {
            this.longPollTimeout = Objects.requireNonNull(value, "longPollTimeout");
            return this;
        }

        /** Sets the maximum size of a response body, in bytes; 16 MiB by default. */
        public Builder maxBodyBytes(int value) {
            this.maxBodyBytes = value;
            return this;
        }

        /** Sets the maximum number of connections; 16 by default. The long poll of a followed stream occupies one. */
        public Builder maxConnections(int value) {
            this.maxConnections = value;
            return this;
        }

        /** Returns the client. */
        public HttpPlatformClient build() {
            return new HttpPlatformClient(this);
        }
    }
}
