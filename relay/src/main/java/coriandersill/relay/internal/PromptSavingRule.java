package coriandersill.relay.internal;

import coriandersill.routing.SavingPreference;

/** Determines whether the choice of an engine counts the parts of the prompt that it need not read. Thread-safe. */
@FunctionalInterface
interface PromptSavingRule {
    /** Returns what the engines are expected to hold of a generation's prompt; none if it does not count. */
    SavingPreference of(CallPlan plan);
}
