package coriandersill.cli;

/** The exit status of the tool; docs/OPERATIONS.md has the same list. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The command failed for a reason that none of the other codes covers. */
    FAILED(1),
    /** Arguments or documents are invalid; nothing was applied. */
    INVALID(2),
    /** A document was changed concurrently; nothing was applied. */
    CONFLICT(3),
    /**
     * The log's response was lost, so the change may or may not have been applied; repeating the command with the same
     * change id is safe.
     */
    UNKNOWN(4),
    /** The platform does not respond; nothing was applied. */
    UNAVAILABLE(5),
    /** The rollout was rolled back. */
    ROLLED_BACK(6),
    /** The awaited condition was not met before the timeout; a change that was applied stays applied. */
    TIMED_OUT(7);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the exit status of the process. */
    public int number() {
        return number;
    }
}
