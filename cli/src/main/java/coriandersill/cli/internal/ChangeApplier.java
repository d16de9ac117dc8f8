package coriandersill.cli.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import coriandersill.cli.ExitCode;
import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.DocumentEdit;
import coriandersill.configuration.Problem;
import coriandersill.configuration.Verdict;
import coriandersill.configuration.log.ApplyResult;
import coriandersill.sharedlog.ListedInstance;
import coriandersill.wire.Message;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Applies change sets and tells what became of them. */
final class ChangeApplier {
    private ChangeApplier() {}

    /**
     * Who makes a change, and why.
     *
     * @param id the change's id; the same for a repeat after a lost answer
     * @param author who
     * @param reason why
     * @param untilInForce whether to wait until it is in force everywhere
     */
    record ChangeRequest(String id, String author, String reason, boolean untilInForce) {}

    static ExitCode apply(
            Session session, Output output, ChangeRequest order, AcceptedState base, List<DocumentEdit> edits) {
        if (edits.isEmpty()) {
            output.result(Output.row().put("answer", "unchanged"), "nothing differs from what is in force");
            return ExitCode.OK;
        }
        ApplyResult result = session.apply(order.id(), order.author(), order.reason(), base, edits);
        ObjectNode row = Output.row()
                .put("answer", result.outcome().name().toLowerCase(Locale.ROOT))
                .put("change", order.id());
        output.result(row.put("detail", detail(result)), result.outcome() + " " + order.id() + " " + detail(result));
        if (result.outcome() == ApplyResult.Outcome.ACCEPTED && order.untilInForce()) {
            return awaitInForce(session, output);
        }
        return exitCode(result.outcome());
    }

    private static String detail(ApplyResult result) {
        if (result.verdict().isEmpty()) {
            return result.message();
        }
        if (result.verdict().get() instanceof Verdict.Invalid invalid) {
            return String.join(
                    "; ", invalid.problems().stream().map(ChangeApplier::text).toList());
        }
        return result.verdict().get().toString();
    }

    static String text(Problem problem) {
        String path = problem.path().isEmpty() ? "" : problem.path() + ": ";
        return problem.document() + ": " + path + "expected " + problem.expected() + ", found " + problem.found();
    }

    private static ExitCode exitCode(ApplyResult.Outcome answer) {
        return switch (answer) {
            case ACCEPTED -> ExitCode.OK;
            case CONFLICT -> ExitCode.CONFLICT;
            case INVALID -> ExitCode.INVALID;
            case UNKNOWN -> ExitCode.UNKNOWN;
            case NOT_APPENDED -> ExitCode.UNAVAILABLE;
        };
    }

    private static ExitCode awaitInForce(Session session, Output output) {
        long position = session.state().position();
        List<ListedInstance> instances = session.instances();
        try (InstanceProbe probe = new InstanceProbe(instances)) {
            boolean everywhere = probe.await(
                    pings -> instances.stream().allMatch(instance -> inForce(pings.get(instance.id()), position)),
                    Duration.ofSeconds(session.timeoutSeconds()));
            Map<coriandersill.core.InstanceId, Message.Ping> pings = probe.pings();
            for (ListedInstance instance : instances) {
                String state = inForce(pings.get(instance.id()), position) ? "in force" : "not yet";
                output.progress(instance.id() + "  " + state);
            }
            return everywhere ? ExitCode.OK : ExitCode.TIMED_OUT;
        }
    }

    private static boolean inForce(Message.Ping ping, long position) {
        return ping != null && ping.configurationOffset() >= position;
    }
}
