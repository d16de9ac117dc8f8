package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import coriandersill.platform.StandInStore;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** The environment of the entries: the store, the upstreams, and the published configuration. */
final class SoakEnvironment implements AutoCloseable {
    /** The number of API keys, and of upstreams of each service, at the start. */
    private static final int INITIAL_COUNT = 3;

    private final Vertx vertx = Vertx.vertx();
    private final StandInStore store;
    private final List<Upstream> upstreams = new CopyOnWriteArrayList<>();
    private final Map<String, String> workspacesOfActiveKeys = new ConcurrentHashMap<>();
    private final Map<String, String> workspacesOfAllKeys = new ConcurrentHashMap<>();
    private final Map<String, Long> revokedAtNanos = new ConcurrentHashMap<>();
    private long configurationVersion;
    private int nextId;

    private SoakEnvironment() throws Exception {
        store = StandInStore.start(vertx);
    }

    static SoakEnvironment start() throws Exception {
        SoakEnvironment environment = new SoakEnvironment();
        for (int i = 0; i < INITIAL_COUNT; i++) {
            environment.addKey();
            environment.addUpstream(Upstream.PLAIN_SERVICE);
            environment.addUpstream(Upstream.ENGINE_SERVICE);
        }
        return environment;
    }

    Vertx vertx() {
        return vertx;
    }

    StandInStore store() {
        return store;
    }

    /** All upstreams that were ever started. */
    List<Upstream> upstreams() {
        return upstreams;
    }

    /** The upstreams of a service that are not leaving. */
    List<Upstream> remainingUpstreams(String service) {
        return upstreams.stream()
                .filter(upstream -> upstream.service().equals(service) && !upstream.isLeaving())
                .toList();
    }

    /** The API keys in the current configuration. */
    List<String> activeKeys() {
        return new ArrayList<>(workspacesOfActiveKeys.keySet());
    }

    /** The workspace of every API key that was ever configured. */
    Map<String, String> workspacesOfAllKeys() {
        return workspacesOfAllKeys;
    }

    /** When each revoked key was removed from the published configuration, by {@link System#nanoTime}. */
    Map<String, Long> revokedAtNanos() {
        return revokedAtNanos;
    }

    synchronized void addUpstream(String service) throws Exception {
        Upstream upstream = Upstream.start(vertx, "u" + nextId++, service);
        upstreams.add(upstream);
        publishListing(upstream);
    }

    private void publishListing(Upstream upstream) {
        store.put(
                PlatformFixtures.LISTING_TOPIC,
                upstream.id(),
                PlatformFixtures.listing(upstream.service(), upstream.proxy().port(), upstream.isListedAsLeaving()));
    }

    /** Publishes that an upstream is leaving. */
    void markLeaving(Upstream upstream) {
        upstream.markLeaving();
        publishListing(upstream);
    }

    void removeListing(Upstream upstream) {
        store.remove(PlatformFixtures.LISTING_TOPIC, upstream.id());
    }

    synchronized void addKey() {
        int number = nextId++;
        workspacesOfActiveKeys.put("key-" + number, "workspace-" + number);
        workspacesOfAllKeys.put("key-" + number, "workspace-" + number);
        publishConfiguration();
    }

    synchronized void revokeKey(String key) {
        workspacesOfActiveKeys.remove(key);
        publishConfiguration();
        // Taken after publication, so that no entry is expected to know of the revocation earlier.
        revokedAtNanos.put(key, System.nanoTime());
    }

    private void publishConfiguration() {
        configurationVersion++;
        store.put(
                PlatformFixtures.OPERATOR_TOPIC,
                PlatformFixtures.CONFIGURATION_KEY,
                PlatformFixtures.configuration(configurationVersion, new HashMap<>(workspacesOfActiveKeys)));
    }

    @Override
    public void close() throws Exception {
        upstreams.forEach(Upstream::close);
        store.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }
}
