package coriandersill.idempotency;

import coriandersill.core.CallFailure;

/** What is known of a key when a call comes with it. */
public sealed interface KeyState {

    /** No call holds the key: it may be claimed. */
    record Unclaimed() implements KeyState {}

    /** A call with the key runs. */
    record InProgress() implements KeyState {}

    /** A call held the key past its lifetime and told no outcome. */
    record Unknown() implements KeyState {}

    /**
     * The call with the key ended.
     *
     * @param outcome its outcome
     */
    record Done(Outcome outcome) implements KeyState {}

    /**
     * The call may not run under this key, or not here.
     *
     * @param failure why
     */
    record Refused(CallFailure failure) implements KeyState {}
}
