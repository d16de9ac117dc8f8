package coriandersill.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;

/**
 * A caller's request, decoded; its body comes apart from it.
 *
 * @param id the caller's identifier of this attempt; each attempt has its own
 * @param method the HTTP method
 * @param uri path and query, as the caller sent them
 * @param path the path alone
 * @param host the host that the caller names, in lower case, without a port
 * @param apiKey the key that the caller shows; empty if none
 * @param deadline how long the caller waits; empty if it does not say
 * @param prompt the prompt of a generation; empty for other calls
 * @param lastEventId the last event of the stream that the caller already has; {@link #NO_EVENT} for none
 * @param forwarded the headers that go on to the upstream unchanged
 */
public record CallRequest(
        String id,
        HttpMethod method,
        String uri,
        String path,
        String host,
        Optional<String> apiKey,
        Optional<Duration> deadline,
        Optional<Prompt> prompt,
        long lastEventId,
        MultiMap forwarded) {
    /** Stands for no event. */
    public static final long NO_EVENT = -1;

    /**
     * What a caller says of the prompt of a generation.
     *
     * @param tokens the length of the prompt in tokens
     * @param maxOutputTokens the most tokens that are generated
     * @param expectedOutputTokens how many tokens the caller expects to be generated
     * @param prefixHash a hash of the part that other prompts share; 0 for none
     */
    public record Prompt(int tokens, int maxOutputTokens, int expectedOutputTokens, long prefixHash) {}
}
