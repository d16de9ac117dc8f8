package coriandersill.relay;

import coriandersill.quarantine.PromptPart;
import coriandersill.routing.PrefixPart;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A decoded request of a caller, without its body.
 *
 * @param id the identifier that the caller gave to this call; a retry by the caller is another call
 * @param method the HTTP method
 * @param uri path and query, as the caller sent them
 * @param path the path alone
 * @param host the requested host, in lower case, without a port
 * @param apiKey the API key that the caller presents; empty if none
 * @param timeout how long the caller waits; empty if unspecified
 * @param prompt the prompt of a generation; empty for other calls
 * @param lastEventId the id of the last event that the caller has received; {@link #NO_EVENT} for none
 * @param forwardedHeaders the headers that are forwarded to the upstream unchanged
 */
public record CallRequest(
        String id,
        HttpMethod method,
        String uri,
        String path,
        String host,
        Optional<String> apiKey,
        Optional<Duration> timeout,
        Optional<Prompt> prompt,
        long lastEventId,
        MultiMap forwardedHeaders) {
    /** The value of {@link #lastEventId} if the caller has received no event. */
    public static final long NO_EVENT = -1;

    /**
     * The caller's description of the prompt of a generation.
     *
     * @param tokens the length of the prompt in tokens
     * @param maxOutputTokens the maximum number of tokens to generate
     * @param expectedOutputTokens the number of tokens that the caller expects to be generated
     * @param prefixHash a hash of the prefix shared with other prompts; 0 for none
     * @param sharedParts the parts of the prompt that other generations may share, in order
     * @param prefixParts these parts with their lengths, up to the first that is malformed; the lengths are unchecked
     */
    public record Prompt(
            int tokens,
            int maxOutputTokens,
            int expectedOutputTokens,
            long prefixHash,
            List<PromptPart> sharedParts,
            List<PrefixPart> prefixParts) {
        /** Copies the lists. */
        public Prompt {
            sharedParts = List.copyOf(sharedParts);
            prefixParts = List.copyOf(prefixParts);
        }

        /** Creates a prompt whose parts have unknown lengths. */
        public Prompt(
                int tokens,
                int maxOutputTokens,
                int expectedOutputTokens,
                long prefixHash,
                List<PromptPart> sharedParts) {
            this(tokens, maxOutputTokens, expectedOutputTokens, prefixHash, sharedParts, List.of());
        }
    }
}
