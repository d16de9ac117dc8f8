package coriandersill.routing;

/**
 * What a sidecar says about its upstream's load; it lags.
 *
 * @param running admitted calls of all entries
 * @param waiting calls of all entries that wait for room
 * @param limit the present concurrency limit; values below 1 count as 1
 * @param cold whether the limit is held down by a cold start
 * @param reservedTokens engine memory reserved for running calls, in tokens
 * @param memoryTokens engine memory, in tokens; 0 for a plain service
 */
public record LoadReport(int running, int waiting, int limit, boolean cold, long reservedTokens, long memoryTokens) {}
