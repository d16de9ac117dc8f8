package coriandersill.routing;

/**
 * The combined load of all other entries at one upstream.
 *
 * @param inFlight number of calls running or queued there
 * @param reservedTokens engine memory predicted for them, in tokens
 * @param pendingPromptTokens prompt tokens of those calls not yet prefilled
 */
public record OtherEntriesLoad(int inFlight, long reservedTokens, long pendingPromptTokens) {
    /** No load. */
    public static final OtherEntriesLoad NONE = new OtherEntriesLoad(0, 0, 0);

    /** Returns the sum of this load and {@code other}. */
    public OtherEntriesLoad plus(OtherEntriesLoad other) {
        return new OtherEntriesLoad(
                inFlight + other.inFlight,
                reservedTokens + other.reservedTokens,
                pendingPromptTokens + other.pendingPromptTokens);
    }
}
