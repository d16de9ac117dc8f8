package coriandersill.admission;

/**
 * The load of one upstream as known to its sidecar.
 *
 * @param running the number of admitted requests
 * @param waiting the number of waiting requests
 * @param limit the current concurrency limit
 * @param cold whether the limit is reduced because the upstream is cold
 * @param reservedTokens the reserved engine memory, in tokens
 * @param memoryTokens the engine memory, in tokens; 0 for a plain service
 */
public record UpstreamLoad(int running, int waiting, int limit, boolean cold, long reservedTokens, long memoryTokens) {}
