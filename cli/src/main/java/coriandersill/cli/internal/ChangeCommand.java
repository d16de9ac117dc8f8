package coriandersill.cli.internal;

import com.github.rvesse.airline.annotations.Option;

/** Base class of the commands that change documents. */
public abstract class ChangeCommand extends ToolCommand {
    @Option(name = "--reason", title = "TEXT", description = "Reason for the change, shown by 'config history'")
    private String reason = "";

    @Option(name = "--author", title = "NAME", description = "Author of the change (default: the current user)")
    private String author = Session.defaultAuthor();

    @Option(
            name = "--change-id",
            title = "ID",
            description =
                    "ID of the change (default: a random ID); a command that is repeated with the same ID applies the"
                            + " change at most once")
    private String changeId;

    @Option(
            name = "--wait",
            description =
                    "Wait until the change is in force in every instance of the platform's instance list, or until"
                            + " --timeout has expired")
    private boolean wait;

    ChangeApplier.ChangeRequest changeRequest(String defaultReason) {
        return new ChangeApplier.ChangeRequest(
                changeId == null ? Session.newChangeId() : changeId,
                author,
                reason.isEmpty() ? defaultReason : reason,
                wait);
    }
}
