package coriandersill.cli;

/** How the tool ends; docs/OPERATIONS.md has the same list. */
public enum ExitCode {
    /** The command did what it says. */
    OK(0),
    /** The command failed for a reason that has no code of its own. */
    FAILED(1),
    /** Arguments or documents are wrong; nothing was applied. */
    INVALID(2),
    /** A document had changed meanwhile; nothing was applied. */
    CONFLICT(3),
    /** The log's answer was lost; the same command with the same change id is safe to repeat. */
    UNKNOWN(4),
    /** The platform does not answer; nothing was applied. */
    UNAVAILABLE(5),
    /** The rollout was rolled back. */
    ROLLED_BACK(6),
    /** What was waited for did not come in time. */
    TIMED_OUT(7);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** The process's exit status. */
    public int number() {
        return number;
    }
}
