package coriandersill.sharedlog;

import java.util.concurrent.CompletableFuture;

/** The platform service with which an instance registers itself and renews its registration. */
@FunctionalInterface
public interface InstanceRegistry {

    /** Adds an instance to the list or renews it; fails with {@code UNAVAILABLE} if the platform does not respond. */
    CompletableFuture<Void> register(ListedInstance instance);
}
