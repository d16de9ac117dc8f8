package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import coriandersill.platform.StandInStore;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** The environment of the entries: the store, the upstreams, and the published configuration. */
final class SoakEnvironment implements AutoCloseable {
    /** The name under which {@link DisturbanceTracker} has the outages of the store. */
    static final String STORE = "store";

    /** The number of API keys, and of upstreams of each service, at the start. */
    private static final int INITIAL_COUNT = 3;

    /** The size of the largest record that the store accepts, less its key. */
    private static final int MAX_CONFIGURATION_BYTES = 262_100;

    /** The number of slots that upstreams list if they have as many or more. */
    private static final int MAX_LISTED_SLOTS = 8;

    private final Vertx vertx = Vertx.vertx();
    private final StandInStore store;
    private final List<Upstream> upstreams = new CopyOnWriteArrayList<>();
    private final Map<String, String> workspacesOfActiveKeys = new ConcurrentHashMap<>();
    private final Map<String, String> workspacesOfAllKeys = new ConcurrentHashMap<>();
    private final Map<String, Long> addedAtNanos = new ConcurrentHashMap<>();
    private final Map<String, Long> revokedAtNanos = new ConcurrentHashMap<>();
    private final EngineShape shape;
    private final EngineBehaviors behaviors;
    private long configurationVersion;
    private int nextId;

    private SoakEnvironment(EngineShape shape, EngineBehaviors behaviors) throws Exception {
        this.shape = shape;
        this.behaviors = behaviors;
        store = StandInStore.start(vertx);
    }

    /** Starts an environment whose engines have a shape and behaviors. */
    static SoakEnvironment start(EngineShape shape, EngineBehaviors behaviors) throws Exception {
        SoakEnvironment environment = new SoakEnvironment(shape, behaviors);
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

    /** The upstreams of a service that are not leaving and whose responses end. */
    List<Upstream> remainingUpstreams(String service) {
        return upstreams.stream()
                .filter(upstream ->
                        upstream.service().equals(service) && !upstream.isLeaving() && !upstream.isEndless())
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

    /** When the store had accepted each key, by {@link System#nanoTime}. */
    Map<String, Long> addedAtNanos() {
        return addedAtNanos;
    }

    /** When each revoked key was removed from the published configuration, by {@link System#nanoTime}. */
    Map<String, Long> revokedAtNanos() {
        return revokedAtNanos;
    }

    synchronized void addUpstream(String service) throws Exception {
        String id = "u" + nextId++;
        Upstream upstream = Upstream.start(vertx, id, service, shape, behaviors.of(id));
        upstreams.add(upstream);
        publishListing(upstream);
    }

    /** Adds an upstream whose responses never end. */
    synchronized void addEndlessUpstream(String service) throws Exception {
        Upstream upstream = Upstream.startEndless(vertx, "u" + nextId++, service);
        upstreams.add(upstream);
        publishListing(upstream);
    }

    private void publishListing(Upstream upstream) {
        store.put(
                PlatformFixtures.LISTING_TOPIC,
                upstream.id(),
                PlatformFixtures.listing(
                        upstream.service(),
                        upstream.port(),
                        upstream.isListedAsLeaving(),
                        upstream.service().equals(Upstream.ENGINE_SERVICE)
                                ? Math.min(shape.slots(), MAX_LISTED_SLOTS)
                                : MAX_LISTED_SLOTS));
    }

    /** Publishes that an upstream is leaving. */
    void markLeaving(Upstream upstream) {
        synchronized (upstream) {
            upstream.markLeaving();
            publishListing(upstream);
            upstream.departureAccepted();
        }
    }

    void removeListing(Upstream upstream) {
        synchronized (upstream) {
            upstream.listingRemoved();
            store.remove(PlatformFixtures.LISTING_TOPIC, upstream.id());
            upstream.departureAccepted();
        }
    }

    /** Removes the listing of an upstream that could not renew it; the upstream may be there. */
    void expireListing(Upstream upstream) {
        synchronized (upstream) {
            store.remove(PlatformFixtures.LISTING_TOPIC, upstream.id());
            upstream.departureAccepted();
        }
    }

    /** Publishes the listing of an upstream that is there. */
    void renewListing(Upstream upstream) {
        synchronized (upstream) {
            if (!upstream.isListingRemoved()) {
                publishListing(upstream);
                upstream.departureRevoked();
            }
        }
    }

    /** Writes, as another writer would, any bytes in place of the listing of an upstream that is not leaving. */
    void replaceListing(Upstream upstream, Buffer value) {
        synchronized (upstream) {
            if (!upstream.isLeaving()) {
                store.put(PlatformFixtures.LISTING_TOPIC, Buffer.buffer(upstream.id()), value);
            }
        }
    }

    /** Publishes the listing of an upstream once more, unless it was removed, as the upstream's next report does. */
    void republishListing(Upstream upstream) {
        synchronized (upstream) {
            if (!upstream.isListingRemoved()) {
                publishListing(upstream);
            }
        }
    }

    synchronized void addKey() {
        int number = nextId++;
        workspacesOfActiveKeys.put("key-" + number, "workspace-" + number);
        publishConfiguration(Map.of());
        addedAtNanos.put("key-" + number, System.nanoTime());
        workspacesOfAllKeys.put("key-" + number, "workspace-" + number);
    }

    synchronized void revokeKey(String key) {
        workspacesOfActiveKeys.remove(key);
        publishConfiguration(Map.of());
        // Taken after publication, so that no entry is expected to know of the revocation earlier.
        revokedAtNanos.put(key, System.nanoTime());
    }

    /** Publishes a configuration of almost the largest size, with many workspaces that make no calls. */
    synchronized void publishLargeConfiguration(long number) {
        Map<String, String> one = otherWorkspaces(1, number);
        int emptyLength = configuration(Map.of()).length();
        int count =
                (MAX_CONFIGURATION_BYTES - emptyLength) / (configuration(one).length() - emptyLength);
        publishConfiguration(otherWorkspaces(count, number));
    }

    private static Map<String, String> otherWorkspaces(int count, long number) {
        Map<String, String> workspaces = new HashMap<>();
        for (int i = 0; i < count; i++) {
            String suffix = String.format("%016x-%05d", number, i);
            workspaces.put("other-key-" + suffix, "other-workspace-" + suffix);
        }
        return workspaces;
    }

    private void publishConfiguration(Map<String, String> others) {
        configurationVersion++;
        store.put(PlatformFixtures.OPERATOR_TOPIC, PlatformFixtures.CONFIGURATION_KEY, configuration(others));
    }

    private String configuration(Map<String, String> others) {
        Map<String, String> workspaces = new HashMap<>(workspacesOfActiveKeys);
        workspaces.putAll(others);
        return PlatformFixtures.configuration(configurationVersion, workspaces);
    }

    @Override
    public void close() throws Exception {
        upstreams.forEach(Upstream::close);
        store.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }
}
