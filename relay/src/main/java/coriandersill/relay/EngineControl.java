package coriandersill.relay;

import coriandersill.upstreams.Upstream;
import java.util.concurrent.CompletableFuture;

/** What engines do beside generating; the futures fail with a {@link coriandersill.core.CallFailure}. */
public interface EngineControl {

    /**
     * Copies the memory of a running generation to another engine.
     *
     * @param source the engine that runs it
     * @param id the attempt that started it
     * @param target the engine that takes the copy
     * @param stop whether the run stops before the rest of it is copied
     */
    CompletableFuture<CopyResult> copy(Upstream source, String id, Upstream target, boolean stop);

    /** Frees a copy that will not be used. */
    CompletableFuture<Void> release(KvCacheCopy copy);

    /** Asks an engine for its load and for how long it stays. */
    CompletableFuture<EngineReport> report(Upstream engine);
}
