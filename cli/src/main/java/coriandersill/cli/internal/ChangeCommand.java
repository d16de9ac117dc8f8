package coriandersill.cli.internal;

import com.github.rvesse.airline.annotations.Option;

/** Base class of the commands that change documents. */
public abstract class ChangeCommand extends ToolCommand {
    @Option(name = "--reason", title = "TEXT", description = "Why, for the audit trail")
    private String reason = "";

    @Option(name = "--author", title = "NAME", description = "Who; the user's name unless set")
    private String author = Session.defaultAuthor();

    @Option(
            name = "--change-id",
            title = "ID",
            description = "The id of a change whose answer was lost; repeating it never applies it twice")
    private String changeId;

    @Option(name = "--wait", description = "Wait until the change is in force in every listed instance")
    private boolean wait;

    ChangeApplier.ChangeRequest changeRequest(String defaultReason) {
        return new ChangeApplier.ChangeRequest(
                changeId == null ? Session.newChangeId() : changeId,
                author,
                reason.isEmpty() ? defaultReason : reason,
                wait);
    }
}
