package coriandersill.sharedlog;

import java.util.concurrent.CompletableFuture;

/** Where an instance tells the platform that it is live. */
@FunctionalInterface
public interface InstanceRegistry {

    /** Adds or renews one line of the list; fails with {@code UNAVAILABLE} when the platform does not answer. */
    CompletableFuture<Void> register(ListedInstance instance);
}
