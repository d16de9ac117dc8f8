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

    private static Optional<Map<DocumentName, Document>> load(String directory, Output output) {
        Decoded<Map<DocumentName, Document>> loaded = DirectoryLoader.load(Path.of(directory));
        loaded.problems().forEach(problem -> output.failure(ChangeApplier.text(problem)));
        return loaded.value();
    }

    private static String text(DocumentDiff.Change change) {
        StringBuilder text = new StringBuilder(change.kind() + " " + change.name());
        change.fields().forEach(field -> text.append("\n  ")
                .append(field.path())
                .append(": ")
                .append(field.before())
                .append(" -> ")
                .append(field.after()));
        return text.toString();
    }

    /** Checks a directory of documents against what is in force, without applying it. */
    @Command(name = "validate", description = "Check a directory of documents without applying it")
    public static final class Validate extends ToolCommand {
        @Arguments(title = "DIRECTORY", description = "The directory")
        private String directory = ".";

        @Override
        ExitCode run(Session session, Output output) {
            Optional<Map<DocumentName, Document>> wanted = load(directory, output);
            if (wanted.isEmpty()) {
                return ExitCode.INVALID;
            }
            AcceptedState state = session.state();
            DocumentDiff diff = DocumentDiff.between(state, wanted.get());
            ChangeSet change = ChangeSet.of(
                    Session.newChangeId(),
                    Session.defaultAuthor(),
                    "validate",
                    Instant.now(),
                    state.position(),
                    diff.edits());
            Verdict verdict = session.client().validate(change).join();
            if (verdict instanceof Verdict.Invalid invalid) {
                invalid.problems().forEach(problem -> output.failure(ChangeApplier.text(problem)));
                return ExitCode.INVALID;
            }
            diff.changes().forEach(one -> output.progress(text(one)));
            output.result(
                    Output.row()
                            .put("valid", true)
                            .put("changes", diff.changes().size()),
                    "valid; " + diff.changes().size() + " documents would change");
            return ExitCode.OK;
        }
    }

    /** Applies a directory of documents as a whole. */
    @Command(name = "apply", description = "Apply a directory of documents, whole or not at all")
    public static final class Apply extends ChangeCommand {
        @Arguments(title = "DIRECTORY", description = "The directory")
        private String directory = ".";

        @Override
        ExitCode run(Session session, Output output) {
            Optional<Map<DocumentName, Document>> wanted = load(directory, output);
            if (wanted.isEmpty()) {
                return ExitCode.INVALID;
            }
            AcceptedState state = session.state();
            DocumentDiff diff = DocumentDiff.between(state, wanted.get());
            diff.changes().forEach(change -> output.progress(text(change)));
            return ChangeApplier.apply(session, output, order("apply " + directory), state, diff.edits());
        }
    }

    /** Shows the documents in force, or one of them. */
    @Command(name = "show", description = "Show the documents in force, or one of them whole")
    public static final class Show extends ToolCommand {
        @Arguments(title = "DOCUMENT", description = "For example services/scribe")
        private String document;

        @Override
        ExitCode run(Session session, Output output) {
            AcceptedState state = session.state();
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
            output.rows(rows);
            return ExitCode.OK;
        }

        private ExitCode showOne(AcceptedState state, Output output) {
            VersionedDocument found = state.documents().get(DocumentName.parse(document));
            if (found == null) {
                output.failure("document: expected one in force, found none named " + document);
                return ExitCode.INVALID;
            }
            String text = DocumentCodec.write(found.document());
            output.result(Output.row().put("version", found.version()).put("content", text), text);
            return ExitCode.OK;
        }
    }

    /** Shows who changed what, when and why. */
    @Command(name = "history", description = "Show the decided change sets: who, when, why and the verdict")
    public static final class History extends ToolCommand {
        @Override
        ExitCode run(Session session, Output output) {
            output.rows(session.client().history().join().stream()
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
