package coriandersill.relay.internal;

import coriandersill.catalog.RouteRule;
import coriandersill.catalog.ServiceDefinition;
import coriandersill.core.WorkspaceName;
import coriandersill.quarantine.CallTraits;
import coriandersill.quarantine.PromptPart;
import coriandersill.relay.CallRequest;
import coriandersill.routing.PromptPrefix;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The routing decisions made when a call arrives; later catalog versions do not affect them.
 *
 * @param request the caller's request
 * @param route the matching route
 * @param service the service that handles the call
 * @param workspace the caller's workspace; empty if the call needs no key
 * @param urgency the rank of the call among those of its service, 0 for the most urgent; empty if the configuration
 *     states none
 * @param timeLimit how long the call may take from its arrival: the shorter of the caller's timeout and the route's
 *     timeout
 * @param catalogVersion the version of the catalog used
 */
record CallPlan(
        CallRequest request,
        RouteRule route,
        ServiceDefinition service,
        Optional<WorkspaceName> workspace,
        OptionalInt urgency,
        Duration timeLimit,
        long catalogVersion) {
    /** An engine prefills about this many prompt tokens in the time of a decoding step, which produces one token. */
    private static final int PROMPT_TOKENS_PER_OUTPUT_TOKEN = 50;

    /** Returns the engine memory that the call is predicted to hold at its end, in tokens; 0 for plain calls. */
    int predictedTokens() {
        return request.prompt()
                .map(prompt -> prompt.tokens() + prompt.expectedOutputTokens())
                .orElse(0);
    }

    /** Returns whether prefilling the prompt takes most of the generation's time. */
    boolean isPrefillDominated() {
        return request.prompt()
                .filter(prompt -> prompt.expectedOutputTokens() * PROMPT_TOKENS_PER_OUTPUT_TOKEN < prompt.tokens())
                .isPresent();
    }

    /** Returns the shared parts of the prompt; empty for plain calls. */
    List<PromptPart> sharedParts() {
        return request.prompt().map(CallRequest.Prompt::sharedParts).orElse(List.of());
    }

    /** Returns the beginning of the prompt that engines may hold for other generations; empty for plain calls. */
    PromptPrefix promptPrefix() {
        return request.prompt()
                .map(prompt -> PromptPrefix.of(prompt.prefixParts(), prompt.tokens()))
                .orElse(PromptPrefix.NONE);
    }

    /** Returns whether the configuration states what the caller needs, so that held parts of the prompt count. */
    boolean usesHeldParts() {
        return urgency.isPresent() || route.maxEventGap().isPresent();
    }

    /** Returns what the call has in common with others. */
    CallTraits traits() {
        return CallTraits.of(workspace, sharedParts());
    }

    /** Returns the length of the prompt in tokens; 0 for plain calls. */
    int promptTokens() {
        return request.prompt().map(CallRequest.Prompt::tokens).orElse(0);
    }
}
