package coriandersill.routing;

/**
 * The load of an upstream as reported by its sidecar, or by the upstream itself in a response; arrives with a delay.
 *
 * @param running number of admitted calls of all entries
 * @param waiting number of queued calls of all entries
 * @param limit the current concurrency limit; values below 1 are treated as 1
 * @param cold whether the limit is reduced because the upstream is cold
 * @param reservedTokens engine memory reserved for running calls, in tokens
 * @param memoryTokens engine memory, in tokens; 0 for a plain service, and if it is not reported
 */
public record LoadReport(int running, int waiting, int limit, boolean cold, long reservedTokens, long memoryTokens) {
    /** Returns a report that states only how many calls run and wait, and how many can run at a time. */
    public static LoadReport ofCounts(int running, int waiting, int limit) {
        return new LoadReport(running, waiting, limit, false, 0, 0);
    }
}
