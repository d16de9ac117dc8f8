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

/** What is around the entries: the store, the upstreams, and what is declared. */
final class World implements AutoCloseable {
    private static final int UPSTREAMS_EACH = 3;

    private final Vertx vertx = Vertx.vertx();
    private final StandInStore store;
    private final List<Upstream> upstreams = new CopyOnWriteArrayList<>();
    private final Map<String, String> workspaces = new ConcurrentHashMap<>();
    private final Map<String, String> everyWorkspace = new ConcurrentHashMap<>();
    private final Map<String, Long> revokedAt = new ConcurrentHashMap<>();
    private long version;
    private int names;

    private World() throws Exception {
        store = StandInStore.start(vertx);
    }

    static World start() throws Exception {
        World world = new World();
        for (int i = 0; i < UPSTREAMS_EACH; i++) {
            world.addKey();
            world.addUpstream(Upstream.PLAIN);
            world.addUpstream(Upstream.ENGINE);
        }
        return world;
    }

    Vertx vertx() {
        return vertx;
    }

    StandInStore store() {
        return store;
    }

    /** All upstreams that there were. */
    List<Upstream> upstreams() {
        return upstreams;
    }

    /** Upstreams of a service that do not leave. */
    List<Upstream> staying(String service) {
        return upstreams.stream()
                .filter(upstream -> upstream.service().equals(service) && !upstream.leaving())
                .toList();
    }

    /** Keys that are declared now. */
    List<String> keys() {
        return new ArrayList<>(workspaces.keySet());
    }

    /** All keys that were ever declared, with their workspaces. */
    Map<String, String> everyWorkspace() {
        return everyWorkspace;
    }

    /** When keys were taken away, in nanoseconds. */
    Map<String, Long> revokedAt() {
        return revokedAt;
    }

    synchronized void addUpstream(String service) throws Exception {
        Upstream upstream = Upstream.start(vertx, "u" + names++, service);
        upstreams.add(upstream);
        list(upstream);
    }

    private void list(Upstream upstream) {
        store.put(
                PlatformFixtures.LISTING_TOPIC,
                upstream.id(),
                PlatformFixtures.listing(upstream.service(), upstream.proxy().port(), upstream.leaving()));
    }

    /** Lists an upstream as leaving. */
    void leaves(Upstream upstream) {
        upstream.leaves();
        list(upstream);
    }

    void unlist(Upstream upstream) {
        store.remove(PlatformFixtures.LISTING_TOPIC, upstream.id());
    }

    synchronized void addKey() {
        int number = names++;
        workspaces.put("key-" + number, "house-" + number);
        everyWorkspace.put("key-" + number, "house-" + number);
        declare();
    }

    synchronized void revoke(String key) {
        workspaces.remove(key);
        declare();
        revokedAt.put(key, System.nanoTime());
    }

    private void declare() {
        version++;
        store.put(
                PlatformFixtures.OPERATOR_TOPIC,
                PlatformFixtures.CONFIGURATION_KEY,
                PlatformFixtures.configuration(version, new HashMap<>(workspaces)));
    }

    @Override
    public void close() throws Exception {
        upstreams.forEach(Upstream::end);
        store.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }
}
