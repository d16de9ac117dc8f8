package coriandersill.idempotency;

import coriandersill.core.CallFailure;

/** The state of an idempotency key as found by a call. */
public sealed interface KeyState {

    /** No call holds the key; it may be claimed. */
    record Unclaimed() implements KeyState {}

    /** A call with the key is running. */
    record InProgress() implements KeyState {}

    /** A call claimed the key and its lifetime passed without an outcome. */
    record Unknown() implements KeyState {}

    /**
     * The call with the key has completed.
     *
     * @param outcome the outcome of that call
     */
    record Done(Outcome outcome) implements KeyState {}

    /**
     * The call must not run under this key: no process may run it, or this process cannot decide whether it may run.
     *
     * @param failure the reason
     */
    record Refused(CallFailure failure) implements KeyState {}
}
