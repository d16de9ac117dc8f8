package coriandersill.core;

/** Whether the upstream executed the work of a failed call. */
public enum Ran {
    /** The work was not executed and will not be; retrying is safe. */
    NO,
    /** The work was executed, at least in part. */
    YES,
    /** It cannot be determined whether the work was executed. */
    UNKNOWN
}
