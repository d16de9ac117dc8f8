package coriandersill.relay;

/** How to find out whether the process of an upstream still runs. */
public enum ProcessCheck {
    /** Only a connection is opened, which cannot tell another process at the same address. */
    CONNECTION,
    /** The report is requested too; an upstream that answers nothing or anything else runs, since not all have one. */
    OPTIONAL_REPORT,
    /** Only an upstream that sends its report is known to run; one that is busy may be another at its address. */
    REPORT
}
