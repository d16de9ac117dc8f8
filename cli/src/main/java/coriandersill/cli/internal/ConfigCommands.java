package coriandersill.cli.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import coriandersill.cli.ExitCode;
import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.ChangeSet;
import coriandersill.configuration.Document;
import coriandersill.configuration.DocumentName;
import coriandersill.configuration.Verdict;
import coriandersill.configuration.VersionedDocument;
import coriandersill.documents.Decoded;
import coriandersill.documents.DirectoryLoader;
import coriandersill.documents.DocumentCodec;
import coriandersill.documents.DocumentDiff;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The commands of the group {@code config}. */
public final class ConfigCommands {
    private ConfigCommands() {}

    private static Optional<Map<DocumentName, Document>> loadDocuments(String directory, Output output) {
        Decoded<Map<DocumentName, Document>> loaded = DirectoryLoader.load(Path.of(directory));
        loaded.problems().forEach(problem -> output.printFailure(ChangeApplier.formatProblem(problem)));
        return loaded.value();
    }

    private static String formatChange(DocumentDiff.Change change) {
        StringBuilder text = new StringBuilder(change.kind() + " " + change.name());
        change.fields().forEach(field -> text.append("\n  ")
                .append(field.path())
                .append(": ")
                .append(field.before())
                .append(" -> ")
                .append(field.after()));
        return text.toString();
    }

    /** Checks a directory of documents against the configuration in force, without applying it. */
    @Command(
            name = "validate",
            description = "Check a directory of documents against the configuration in force, without applying it")
    public static final class Validate extends ToolCommand {
        @Arguments(title = "DIRECTORY", description = "Directory of documents (default: the current directory)")
        private String directory = ".";

        @Override
        ExitCode run(Session session, Output output) {
            Optional<Map<DocumentName, Document>> desired = loadDocuments(directory, output);
            if (desired.isEmpty()) {
                return ExitCode.INVALID;
            }
            AcceptedState state = session.readState();
            DocumentDiff diff = DocumentDiff.between(state, desired.get());
            ChangeSet change = ChangeSet.of(
                    Session.newChangeId(),
                    Session.defaultAuthor(),
                    "validate",
                    Instant.now(),
                    state.position(),
                    diff.edits());
            Verdict verdict = session.configurationClient().validate(change).join();
            if (verdict instanceof Verdict.Invalid invalid) {
                invalid.problems().forEach(problem -> output.printFailure(ChangeApplier.formatProblem(problem)));
                return ExitCode.INVALID;
            }
            diff.changes().forEach(documentChange -> output.printProgress(formatChange(documentChange)));
            output.printResult(
                    Output.row()
                            .put("valid", true)
                            .put("changes", diff.changes().size()),
                    "valid; " + diff.changes().size() + " documents would change");
            return ExitCode.OK;
        }
    }

    /** Makes the configuration equal to a directory of documents, atomically. */
    @Command(
            name = "apply",
            description = "Apply a directory of documents atomically; documents that it does not contain are deleted")
    public static final class Apply extends ChangeCommand {
        @Arguments(title = "DIRECTORY", description = "Directory of documents (default: the current directory)")
        private String directory = ".";

        @Override
        ExitCode run(Session session, Output output) {
            Optional<Map<DocumentName, Document>> desired = loadDocuments(directory, output);
            if (desired.isEmpty()) {
                return ExitCode.INVALID;
            }
            AcceptedState state = session.readState();
            DocumentDiff diff = DocumentDiff.between(state, desired.get());
            diff.changes().forEach(change -> output.printProgress(formatChange(change)));
            return ChangeApplier.apply(session, output, changeRequest("apply " + directory), state, diff.edits());
        }
    }

    /** Lists the documents in force, or prints one of them. */
    @Command(name = "show", description = "List the documents in force, or print one of them")
    public static final class Show extends ToolCommand {
        @Arguments(
                title = "DOCUMENT",
                description = "Document to print, for example services/scribe (default: list all)")
        private String document;

        @Override
        ExitCode run(Session session, Output output) {
            AcceptedState state = session.readState();
            if (document != null) {
                return showOne(state, output);
            }
            List<ObjectNode> rows = state.documents().entrySet().stream()
                    .sorted(Map.Entry.comparingByKey())
                    .map(entry -> Output.row()
                            .put("document", entry.getKey().toString())
                            .put("version", entry.getValue().version())
                            .put("author", entry.getValue().author()))
                    .toList();
            output.printRows(rows);
            return ExitCode.OK;
        }

        private ExitCode showOne(AcceptedState state, Output output) {
            VersionedDocument found = state.documents().get(DocumentName.parse(document));
            if (found == null) {
                output.printFailure("document: expected a document in force, found none named \"" + document + "\"");
                return ExitCode.INVALID;
            }
            String text = DocumentCodec.write(found.document());
            output.printResult(Output.row().put("version", found.version()).put("content", text), text);
            return ExitCode.OK;
        }
    }

    /** Lists the accepted and rejected change sets with author, time, reason and verdict. */
    @Command(
            name = "history",
            description = "List the accepted and rejected change sets with author, time, reason and verdict")
    public static final class History extends ToolCommand {
        @Override
        ExitCode run(Session session, Output output) {
            output.printRows(session.configurationClient().history().join().stream()
                    .map(entry -> Output.row()
                            .put("position", entry.position())
                            .put("time", entry.time().toString())
                            .put("author", entry.author())
                            .put("verdict", entry.verdict().getClass().getSimpleName())
                            .put("documents", entry.documents().toString())
                            .put("reason", entry.reason())
                            .put("change", entry.changeId()))
                    .toList());
            return ExitCode.OK;
        }
    }
}
