package coriandersill.sharedlog;

import java.util.concurrent.CompletableFuture;

/** The platform's rate-limited store of model weights. */
@FunctionalInterface
public interface WeightStore {

    /**
     * Requests one load of the named weights, which counts against the rate limit of the store.
     *
     * <p>Fails with {@code OVERLOADED} and a retry delay if the limit is exceeded, with {@code NOT_FOUND} for an
     * unknown name and with {@code UNAVAILABLE} if the store does not respond.
     */
    CompletableFuture<Weights> load(String name);

    /**
     * Weights that the store allows the caller to load.
     *
     * @param name the name of the weights
     * @param bytes their size in bytes
     * @param url the URL from which an engine loads them
     */
    record Weights(String name, long bytes, String url) {}
}
