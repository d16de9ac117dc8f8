package coriandersill.sharedlog;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving instances, which lags behind the truth. */
@FunctionalInterface
public interface InstanceList {

    /** Reads the list; fails with {@code UNAVAILABLE} when the platform does not answer. */
    CompletableFuture<List<ListedInstance>> read();
}
