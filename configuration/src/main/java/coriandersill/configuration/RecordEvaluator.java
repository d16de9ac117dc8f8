package coriandersill.configuration;

import coriandersill.configuration.Verdict.DocumentConflict;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Decides the verdict on one record, given the accepted state before it. */
final class RecordEvaluator {
    /** Bounds the size of a verdict; further problems are left out. */
    private static final int MAX_REPORTED_PROBLEMS = 20;

    private final ConfigurationValidator validator;

    RecordEvaluator(ConfigurationValidator validator) {
        this.validator = validator;
    }

    /** The state after a record, the verdict on it, and the history entry if it is a change set not decided before. */
    record Evaluation(AcceptedState state, Verdict verdict, Optional<HistoryEntry> entry) {}

    Evaluation evaluate(AcceptedState state, long position, ConfigurationRecord record) {
        if (record instanceof ChangeSet change) {
            return evaluateChangeSet(state, position, change);
        }
        if (record instanceof ConfigurationRecord.Malformed malformed) {
            return evaluateMalformed(state, position, malformed);
        }
        String reason = record instanceof ConfigurationRecord.Unknown unknown
                ? "type \"" + unknown.type() + "\" is unknown"
                : "the snapshot is not newer than the accepted state";
        return new Evaluation(state.atPosition(position), new Verdict.Ignored(reason), Optional.empty());
    }

    private Evaluation evaluateChangeSet(AcceptedState state, long position, ChangeSet change) {
        Optional<HistoryEntry> firstDecision = state.findDecision(change.id());
        if (firstDecision.isPresent()) {
            Verdict verdict = new Verdict.Duplicate(
                    firstDecision.get().position(), firstDecision.get().verdict());
            return new Evaluation(state.atPosition(position), verdict, Optional.empty());
        }
        Optional<Verdict> rejection = rejection(state, change);
        AcceptedState candidate = rejection.isPresent() ? state : state.withEdits(position, change);
        Verdict verdict = rejection.orElseGet(() -> validate(candidate, position, change));
        HistoryEntry entry = new HistoryEntry(
                position,
                change.id(),
                change.author(),
                change.reason(),
                change.time(),
                change.edits().stream().map(DocumentEdit::name).toList(),
                verdict);
        AcceptedState next = entry.accepted() ? candidate : state;
        return new Evaluation(next.withDecision(entry), verdict, Optional.of(entry));
    }

    private Evaluation evaluateMalformed(AcceptedState state, long position, ConfigurationRecord.Malformed record) {
        Verdict verdict = new Verdict.Invalid(record.problems());
        if (record.changeId().isEmpty() || state.findDecision(record.changeId()).isPresent()) {
            return new Evaluation(state.atPosition(position), verdict, Optional.empty());
        }
        HistoryEntry entry =
                new HistoryEntry(position, record.changeId(), record.author(), "", Instant.EPOCH, List.of(), verdict);
        return new Evaluation(state.withDecision(entry), verdict, Optional.of(entry));
    }

    private static Optional<Verdict> rejection(AcceptedState state, ChangeSet change) {
        if (change.basedOn() < state.historyFloor()) {
            return Optional.of(new Verdict.Stale(change.basedOn(), state.historyFloor()));
        }
        List<Problem> problems = structuralProblems(change);
        if (!problems.isEmpty()) {
            return Optional.of(invalid(problems));
        }
        List<DocumentConflict> conflicts = change.edits().stream()
                .filter(edit -> edit.baseVersion() != state.version(edit.name()))
                .map(edit -> conflict(state, edit))
                .toList();
        return conflicts.isEmpty() ? Optional.empty() : Optional.of(new Verdict.Conflict(conflicts));
    }

    private Verdict validate(AcceptedState candidate, long position, ChangeSet change) {
        Set<DocumentName> changed =
                change.edits().stream().map(DocumentEdit::name).collect(Collectors.toSet());
        List<Problem> problems = validator.check(candidate, changed);
        return problems.isEmpty() ? new Verdict.Accepted(position) : invalid(problems);
    }

    private static Verdict invalid(List<Problem> problems) {
        return new Verdict.Invalid(problems.subList(0, Math.min(MAX_REPORTED_PROBLEMS, problems.size())));
    }

    private static List<Problem> structuralProblems(ChangeSet change) {
        List<Problem> problems = new ArrayList<>();
        if (change.edits().isEmpty()) {
            problems.add(new Problem("change", "edits", "one edit or more", "none"));
        }
        Set<DocumentName> names = new HashSet<>();
        for (DocumentEdit edit : change.edits()) {
            if (!names.add(edit.name())) {
                problems.add(Problem.of(edit.name(), "", "one edit of each document", "several"));
            }
            edit.content()
                    .map(Document::documentName)
                    .filter(name -> !name.equals(edit.name()))
                    .ifPresent(name -> problems.add(Problem.of(
                            edit.name(), "name", "\"" + edit.name().name() + "\"", "\"" + name.name() + "\"")));
        }
        return problems;
    }

    private static DocumentConflict conflict(AcceptedState state, DocumentEdit edit) {
        VersionedDocument current = state.documents().get(edit.name());
        if (current != null) {
            return new DocumentConflict(edit.name(), edit.baseVersion(), current.version(), current.author());
        }
        String author = "";
        for (HistoryEntry entry : state.history()) {
            if (entry.accepted() && entry.documents().contains(edit.name())) {
                author = entry.author();
            }
        }
        return new DocumentConflict(edit.name(), edit.baseVersion(), StreamPosition.NONE, author);
    }
}
