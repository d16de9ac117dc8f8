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
 * The platform's services over HTTP.
 *
 * <pre>{@code
 * HttpPlatform platform = HttpPlatform.builder(vertx, "127.0.0.1", 7070).executor(workers).build();
 * PlatformLog log = platform.log();
 * }</pre>
 *
 * <p>It may be used from any thread. Every call has a deadline, and every answer a bound of bytes.
 */
public final class HttpPlatformClient implements ManagedService {
    private final HttpClient client;
    private final HttpExchange exchange;
    private final Duration requestTimeout;
    private final Duration longPollTimeout;

    private HttpPlatformClient(Builder builder) {
        HttpClientOptions options = new HttpClientOptions()
                .setDefaultHost(builder.host)
                .setDefaultPort(builder.port)
                .setConnectTimeout((int) Math.min(Integer.MAX_VALUE, builder.requestTimeout.toMillis()))
                .setMaxHeaderSize(16 << 10);
        PoolOptions pool =
                new PoolOptions().setHttp1MaxSize(builder.maxConnections).setMaxWaitQueueSize(1024);
        this.client = builder.vertx.createHttpClient(options, pool);
        this.exchange = new HttpExchange(builder.vertx, client, builder.executor, builder.maxBodyBytes);
        this.requestTimeout = builder.requestTimeout;
        this.longPollTimeout = builder.longPollTimeout;
    }

    /** Returns a builder for clients of the platform at an address. */
    public static Builder builder(Vertx vertx, String host, int port) {
        return new Builder(vertx, host, port);
    }

    /** The log. */
    public PlatformLog log() {
        return new HttpLog(exchange, requestTimeout, longPollTimeout);
    }

    /** The list of instances. */
    public InstanceList instances() {
        return new HttpInstances(exchange, requestTimeout);
    }

    /** Where this instance renews its line of the list. */
    public InstanceRegistry registry() {
        return new HttpInstances(exchange, requestTimeout);
    }

    /** The weight store. */
    public WeightStore weights() {
        return new HttpWeights(exchange, requestTimeout);
    }

    /** The bytes of the bodies of all answers so far. */
    public long receivedBytes() {
        return exchange.receivedBytes();
    }

    @Override
    public CompletableFuture<Void> start() {
        return CompletableFuture.completedFuture(null);
    }

    /** Closes the connections; calls under way fail. */
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

        /** Where answers are read; the event loop unless set, or when the executor refuses. */
        public Builder executor(Executor value) {
            this.executor = Objects.requireNonNull(value, "executor");
            return this;
        }

        /** The longest time of a call, besides the wait of a read; 2 s unless set. */
        public Builder requestTimeout(Duration value) {
            this.requestTimeout = Objects.requireNonNull(value, "deadline");
            return this;
        }

        /** How long a read of the log waits at the server for a record; 10 s unless set. */
        public Builder longPollTimeout(Duration value) {
            this.longPollTimeout = Objects.requireNonNull(value, "wait");
            return this;
        }

        /** The most bytes of an answer; 16 MiB unless set. */
        public Builder maxBodyBytes(int value) {
            this.maxBodyBytes = value;
            return this;
        }

        /** The most connections, of which each stream that is followed holds one; 16 unless set. */
        public Builder maxConnections(int value) {
            this.maxConnections = value;
            return this;
        }

        /** Returns the clients. */
        public HttpPlatformClient build() {
            return new HttpPlatformClient(this);
        }
    }
}
