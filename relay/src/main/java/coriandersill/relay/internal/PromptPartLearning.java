package coriandersill.relay.internal;

import coriandersill.routing.HeldParts;
import coriandersill.routing.PromptPrefix;
import coriandersill.upstreams.Upstream;

/** Records what this entry's generations show of the memory of engines. Thread-safe. */
record PromptPartLearning(HeldParts parts) {
    /** Records the first event of a generation that has read its prompt at the engine. */
    void begun(Upstream engine, CallPlan plan) {
        PromptPrefix prefix = plan.usesHeldParts() ? plan.promptPrefix() : PromptPrefix.NONE;
        parts.recordBegun(
                engine.instance(), engine.startedAtMillis(), prefix, plan.predictedTokens() - prefix.tokens());
    }

    /** Records the first event of a generation that came to the engine with a copy of its memory. */
    void moved(Upstream engine, CallPlan plan) {
        parts.recordBegun(engine.instance(), engine.startedAtMillis(), PromptPrefix.NONE, plan.predictedTokens());
    }

    /** Records the end of a generation that was sent {@code stayNanos} before. */
    void ended(CallPlan plan, long stayNanos) {
        parts.recordEnded(plan.predictedTokens(), stayNanos);
    }
}
