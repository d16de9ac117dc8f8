package coriandersill.relay.internal;

import coriandersill.routing.HeldParts;
import coriandersill.routing.PromptSavings;
import coriandersill.routing.SavingPreference;

/**
 * Counts the held parts of prompts of routes and workspaces that state a priority or a maximum pause, and of no others.
 */
record StatedSavings(HeldParts parts, RelayMetrics metrics) implements PromptSavingRule {
    @Override
    public SavingPreference of(CallPlan plan) {
        if (!plan.usesHeldParts()) {
            return SavingPreference.NONE;
        }
        PromptSavings savings = parts.savings(plan.promptPrefix());
        return savings.engines().isEmpty()
                ? SavingPreference.NONE
                : new SavingPreference(savings, metrics::countExpectedSaving);
    }
}
