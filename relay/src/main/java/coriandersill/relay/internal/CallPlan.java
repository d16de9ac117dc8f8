package coriandersill.relay.internal;

import coriandersill.catalog.RouteRule;
import coriandersill.catalog.ServiceRule;
import coriandersill.core.WorkspaceName;
import coriandersill.relay.CallRequest;
import java.time.Duration;
import java.util.Optional;

/**
 * What is decided of a call when it arrives; later versions of the catalog do not change it.
 *
 * @param request the caller's request
 * @param route the route it takes
 * @param service the service that takes it
 * @param workspace the caller's workspace; empty where calls need no key
 * @param timeAllowed how long the call may take from its arrival, by the caller and by the route
 * @param catalogVersion the version of the catalog that decided
 */
record CallPlan(
        CallRequest request,
        RouteRule route,
        ServiceRule service,
        Optional<WorkspaceName> workspace,
        Duration timeAllowed,
        long catalogVersion) {
    /** An engine reads about so many tokens of a prompt in the time of a step, which makes one token. */
    private static final int PROMPT_TOKENS_PER_OUTPUT_TOKEN = 50;

    /** The memory that the call is predicted to hold at its end, in tokens; 0 for plain calls. */
    int predictedTokens() {
        return request.prompt()
                .map(prompt -> prompt.tokens() + prompt.expectedOutputTokens())
                .orElse(0);
    }

    /** Whether reading the prompt takes most of the generation's time. */
    boolean shortGeneration() {
        return request.prompt()
                .filter(prompt -> prompt.expectedOutputTokens() * PROMPT_TOKENS_PER_OUTPUT_TOKEN < prompt.tokens())
                .isPresent();
    }

    /** The tokens of the prompt; 0 for plain calls. */
    int promptTokens() {
        return request.prompt().map(CallRequest.Prompt::tokens).orElse(0);
    }
}
