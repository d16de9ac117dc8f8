package coriandersill.core;

/** Whether the work behind a failed call ran at its upstream. */
public enum Ran {
    /** The work did not run and will not: a repeat is safe. */
    NO,
    /** The work ran, at least in part. */
    YES,
    /** It cannot be known whether the work ran. */
    UNKNOWN
}
