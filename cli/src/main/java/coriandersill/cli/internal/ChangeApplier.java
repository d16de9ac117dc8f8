package coriandersill.cli.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import coriandersill.cli.ExitCode;
import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.DocumentEdit;
import coriandersill.configuration.Problem;
import coriandersill.configuration.Verdict;
import coriandersill.configuration.log.ApplyResult;
import coriandersill.core.InstanceId;
import coriandersill.sharedlog.ListedInstance;
import coriandersill.wire.Message;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Applies change sets and reports the outcome. */
final class ChangeApplier {
    private ChangeApplier() {}

    /**
     * A request to change documents.
     *
     * @param id the id of the change; a repeat after a lost response uses the same id
     * @param author who makes the change
     * @param reason why; recorded in the history of the configuration
     * @param waitUntilInForce whether to wait until the change is in force in every instance of the platform's instance
     *     list
     */
    record ChangeRequest(String id, String author, String reason, boolean waitUntilInForce) {}

    static ExitCode apply(
            Session session, Output output, ChangeRequest request, AcceptedState base, List<DocumentEdit> edits) {
        if (edits.isEmpty()) {
            output.printResult(
                    Output.row().put("answer", "unchanged"), "nothing differs from the configuration in force");
            return ExitCode.OK;
        }
        ApplyResult result = session.apply(request.id(), request.author(), request.reason(), base, edits);
        ObjectNode row = Output.row()
                .put("answer", result.outcome().name().toLowerCase(Locale.ROOT))
                .put("change", request.id());
        output.printResult(
                row.put("detail", formatDetail(result)),
                result.outcome() + " " + request.id() + " " + formatDetail(result));
        if (result.outcome() == ApplyResult.Outcome.ACCEPTED && request.waitUntilInForce()) {
            return awaitInForceEverywhere(session, output);
        }
        return exitCode(result.outcome());
    }

    private static String formatDetail(ApplyResult result) {
        if (result.verdict().isEmpty()) {
            return result.message();
        }
        if (result.verdict().get() instanceof Verdict.Invalid invalid) {
            return String.join(
                    "; ",
                    invalid.problems().stream()
                            .map(ChangeApplier::formatProblem)
                            .toList());
        }
        return result.verdict().get().toString();
    }

    static String formatProblem(Problem problem) {
        String path = problem.path().isEmpty() ? "" : problem.path() + ": ";
        return problem.document() + ": " + path + "expected " + problem.expected() + ", found " + problem.found();
    }

    private static ExitCode exitCode(ApplyResult.Outcome outcome) {
        return switch (outcome) {
            case ACCEPTED -> ExitCode.OK;
            case CONFLICT -> ExitCode.CONFLICT;
            case INVALID -> ExitCode.INVALID;
            case UNKNOWN -> ExitCode.UNKNOWN;
            case NOT_APPENDED -> ExitCode.UNAVAILABLE;
        };
    }

    private static ExitCode awaitInForceEverywhere(Session session, Output output) {
        long position = session.readState().position();
        List<ListedInstance> instances = session.readInstances();
        try (InstanceProbe probe = new InstanceProbe(instances)) {
            boolean inForceEverywhere = probe.await(
                    pings -> instances.stream().allMatch(instance -> isInForce(pings.get(instance.id()), position)),
                    Duration.ofSeconds(session.timeoutSeconds()));
            Map<InstanceId, Message.Ping> pings = probe.pings();
            for (ListedInstance instance : instances) {
                String state = isInForce(pings.get(instance.id()), position) ? "in force" : "not yet";
                output.printProgress(instance.id() + "  " + state);
            }
            return inForceEverywhere ? ExitCode.OK : ExitCode.TIMED_OUT;
        }
    }

    private static boolean isInForce(Message.Ping ping, long position) {
        return ping != null && ping.configurationPosition() >= position;
    }
}
