package coriandersill.relay;

/**
 * The calls of a service that have started and not ended at this entry, whether they wait or run.
 *
 * @param calls their number
 * @param tokens the tokens that they are expected to occupy at their end; 0 for calls that are no generations
 */
public record OpenWork(long calls, long tokens) {
    /** Returns both together. */
    public OpenWork plus(OpenWork other) {
        return new OpenWork(calls + other.calls, tokens + other.tokens);
    }
}
