package coriandersill.sharedlog;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving instances, which may be out of date. */
@FunctionalInterface
public interface InstanceList {

    /** Reads the list; fails with {@code UNAVAILABLE} if the platform does not respond. */
    CompletableFuture<List<ListedInstance>> read();
}
