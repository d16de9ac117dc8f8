package coriandersill.routing;

/**
 * What all other entries together have in flight at one upstream.
 *
 * @param inFlight calls that run or wait there
 * @param reservedTokens engine memory predicted for them, in tokens
 * @param pendingPromptTokens tokens of their prompts that are not read yet
 */
public record OtherEntriesLoad(int inFlight, long reservedTokens, long pendingPromptTokens) {
    /** Nothing in flight. */
    public static final OtherEntriesLoad NONE = new OtherEntriesLoad(0, 0, 0);

    /** Returns the sum of both. */
    public OtherEntriesLoad plus(OtherEntriesLoad other) {
        return new OtherEntriesLoad(
                inFlight + other.inFlight,
                reservedTokens + other.reservedTokens,
                pendingPromptTokens + other.pendingPromptTokens);
    }
}
