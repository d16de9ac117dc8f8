package coriandersill.admission;

/**
 * The load of one upstream as its sidecar knows it.
 *
 * @param running admitted requests
 * @param waiting requests that wait for room
 * @param limit the present concurrency limit
 * @param cold whether the limit is held down by a cold start
 * @param reservedTokens engine memory reserved, in tokens
 * @param memoryTokens engine memory, in tokens; 0 for a plain service
 */
public record UpstreamLoad(int running, int waiting, int limit, boolean cold, long reservedTokens, long memoryTokens) {}
