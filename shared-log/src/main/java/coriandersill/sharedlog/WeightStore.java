package coriandersill.sharedlog;

import java.util.concurrent.CompletableFuture;

/** The platform's rate-limited store of model weights. */
@FunctionalInterface
public interface WeightStore {

    /**
     * Takes one load of the named weights out of the store's rate limit.
     *
     * <p>Fails with {@code OVERLOADED} and the time to retry after when the limit is used up, with {@code NOT_FOUND}
     * for an unknown name and with {@code UNAVAILABLE} when the store does not answer.
     */
    CompletableFuture<Weights> load(String name);

    /**
     * A load that the store has granted.
     *
     * @param name the weights
     * @param bytes their size
     * @param url where an engine reads them
     */
    record Weights(String name, long bytes, String url) {}
}
