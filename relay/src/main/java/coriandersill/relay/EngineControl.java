package coriandersill.relay;

import coriandersill.upstreams.Upstream;
import java.util.concurrent.CompletableFuture;

/**
 * Control requests to engines, which copy the KV caches of generations and report load. The returned futures fail with
 * a {@link coriandersill.core.CallFailure}.
 */
public interface EngineControl {

    /** Sets what is told of each answer that an engine sent itself, before the future of the request completes. */
    void setStatementListener(StatementListener listener);

    /**
     * Copies the KV cache of a running generation to another engine.
     *
     * @param source the engine that runs the generation
     * @param id the identifier of the generation's call
     * @param target the engine that receives the copy
     * @param stop whether the generation is stopped before the remainder is copied
     */
    CompletableFuture<CopyResult> copy(Upstream source, String id, Upstream target, boolean stop);

    /** Releases a copy that will not be used. */
    CompletableFuture<Void> release(KvCacheCopy copy);

    /**
     * Determines whether the process of an upstream still runs; completes with UNKNOWN if its address is silent, or if
     * what answers is not known to be the upstream.
     */
    CompletableFuture<EngineProcessState> processState(Upstream engine, ProcessCheck check);

    /** Requests an engine's current load and the time until it shuts down. */
    CompletableFuture<EngineReport> report(Upstream engine);
}
