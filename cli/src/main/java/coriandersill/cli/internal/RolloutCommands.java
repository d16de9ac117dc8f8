package coriandersill.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import coriandersill.cli.ExitCode;
import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.DocumentEdit;
import coriandersill.configuration.DocumentKind;
import coriandersill.configuration.DocumentName;
import coriandersill.configuration.RolloutDocument;
import coriandersill.configuration.ServiceDocument;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.rollout.RolloutPhase;
import coriandersill.sharedlog.LogRecord;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/** The commands of the group {@code rollout}. */
public final class RolloutCommands {
    private static final String ROLLOUT_STREAM = "rollouts";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RolloutCommands() {}

    /** Returns the rollout transitions of a service that the log contains, oldest first. */
    private static List<ObjectNode> transitions(Session session, String service) {
        List<ObjectNode> found = new ArrayList<>();
        for (LogRecord record : session.readStream(ROLLOUT_STREAM)) {
            try {
                JsonNode node = MAPPER.readTree(record.data());
                if (node instanceof ObjectNode object
                        && object.path("service").asText().equals(service)) {
                    found.add(Output.row()
                            .put("time", record.time().toString())
                            .put("declared_at", object.path("declaredAt").asLong())
                            .put("phase", object.path("phase").asText())
                            .put("share", object.path("share").asDouble())
                            .put("source", object.path("source").asText())
                            .put("evidence", object.path("evidence").asText()));
                }
            } catch (IOException malformed) {
                throw new IllegalStateException(
                        "record " + record.offset() + " of stream " + ROLLOUT_STREAM + ": expected JSON, found "
                                + malformed.getMessage(),
                        malformed);
            }
        }
        return found;
    }

    /** Returns the first terminal transition of the rollout with the given declaration position. */
    private static Optional<ObjectNode> findTerminalTransition(List<ObjectNode> transitions, long declarationPosition) {
        return transitions.stream()
                .filter(row -> row.path("declared_at").asLong() == declarationPosition)
                .filter(row -> RolloutPhase.valueOf(row.path("phase").asText()).isTerminal())
                .findFirst();
    }

    /** Declares a rollout. */
    @Command(name = "start", description = "Start a rollout, which moves a service's traffic to another version")
    public static final class Start extends ChangeCommand {
        @Arguments(title = "SERVICE", description = "Name of the service")
        private String service = "";

        @Option(name = "--to", title = "VERSION", description = "Version to roll out (required)")
        private String to = "";

        @Option(
                name = "--within",
                title = "DURATION",
                description = "Time until the rollout must be complete, for example PT2H (default: PT1H)")
        private String within = "PT1H";

        @Option(
                name = "--first-share",
                title = "SHARE",
                description =
                        "Requested share of the traffic in the canary phase, above 0 and at most 1 (default: 0.01);"
                                + " a smaller share may be used")
        private double firstShare = 0.01;

        @Option(
                name = "--probation",
                title = "DURATION",
                description = "Time for which the new version is monitored with all traffic except a control share,"
                        + " before the rollout is complete (default: PT10M)")
        private String probation = "PT10M";

        @Option(
                name = "--error-ratio",
                title = "RATIO",
                description = "Ratio of the error rates of the new and the old version at which the rollout is"
                        + " rolled back, above 1 (default: 2)")
        private double errorRatio = 2;

        @Option(
                name = "--latency-ratio",
                title = "RATIO",
                description = "Ratio of the latencies (time to first token, time between tokens) of the new and the"
                        + " old version at which the rollout is rolled back, above 1 (default: 1.5)")
        private double latencyRatio = 1.5;

        @Override
        ExitCode run(Session session, Output output) {
            AcceptedState state = session.readState();
            ServiceDocument document = state.configuration()
                    .service(ServiceName.of(service))
                    .orElseThrow(() -> new IllegalArgumentException(
                            "service: expected a declared service, found \"" + service + "\""));
            RolloutDocument rollout = new RolloutDocument(
                    document.name(),
                    document.current(),
                    VersionName.of(to),
                    Instant.now().plus(Duration.parse(within)),
                    firstShare,
                    Duration.parse(probation),
                    new RolloutDocument.RegressionCriteria(errorRatio, latencyRatio, latencyRatio));
            DocumentEdit edit = DocumentEdit.put(rollout, state.version(rollout.documentName()));
            return ChangeApplier.apply(
                    session, output, changeRequest("rollout of " + service + " to " + to), state, List.of(edit));
        }
    }

    /** Lists the recorded transitions of a service's rollouts. */
    @Command(name = "status", description = "List the recorded transitions of a service's rollouts")
    public static final class Status extends ToolCommand {
        @Arguments(title = "SERVICE", description = "Name of the service")
        private String service = "";

        @Override
        ExitCode run(Session session, Output output) {
            output.printRows(transitions(session, service));
            return ExitCode.OK;
        }
    }

    /** Waits for the verdict on the newest rollout of a service. */
    @Command(
            name = "wait",
            description = "Wait for the verdict on the newest rollout of a service; the exit status is 0 if it is done,"
                    + " 6 if it was rolled back, 7 if --timeout passed first")
    public static final class Wait extends ToolCommand {
        private static final long POLL_INTERVAL_MILLIS = 500;

        @Arguments(title = "SERVICE", description = "Name of the service")
        private String service = "";

        @Override
        ExitCode run(Session session, Output output) {
            DocumentName name = DocumentName.of(DocumentKind.ROLLOUT, service);
            // A rollout is identified by the version of its document, which is the stream position of its declaration.
            long declarationPosition = session.readState().version(name);
            Duration timeout = Duration.ofSeconds(timeoutSeconds());
            Optional<ObjectNode> verdict = awaitVerdict(
                            session, declarationPosition, System.nanoTime() + timeout.toNanos())
                    .join();
            if (verdict.isEmpty()) {
                output.printFailure("rollout of " + service + ": no verdict within " + timeoutSeconds() + " s");
                return ExitCode.TIMED_OUT;
            }
            String phase = verdict.get().path("phase").asText();
            output.printResult(
                    verdict.get(), phase + ": " + verdict.get().path("evidence").asText());
            return phase.equals("DONE") ? ExitCode.OK : ExitCode.ROLLED_BACK;
        }

        /** Polls the log on a timer until there is a verdict or the deadline has passed. */
        private CompletableFuture<Optional<ObjectNode>> awaitVerdict(
                Session session, long declarationPosition, long deadlineNanos) {
            Optional<ObjectNode> found = findTerminalTransition(transitions(session, service), declarationPosition);
            if (found.isPresent() || System.nanoTime() - deadlineNanos >= 0) {
                return CompletableFuture.completedFuture(found);
            }
            Executor pollExecutor = CompletableFuture.delayedExecutor(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return CompletableFuture.completedFuture(found)
                    .thenComposeAsync(none -> awaitVerdict(session, declarationPosition, deadlineNanos), pollExecutor);
        }
    }

    /**
     * Withdraws the declaration. A rollout without a verdict is rolled back; after a verdict the current version in the
     * service's document serves all traffic again.
     */
    @Command(
            name = "rollback",
            description = "Withdraw the declaration of a rollout; without a verdict the rollout is rolled back, after a"
                    + " verdict the current version in the service's document serves all traffic again")
    public static final class Rollback extends ChangeCommand {
        @Arguments(title = "SERVICE", description = "Name of the service")
        private String service = "";

        @Override
        ExitCode run(Session session, Output output) {
            AcceptedState state = session.readState();
            DocumentName name = DocumentName.of(DocumentKind.ROLLOUT, service);
            if (!state.documents().containsKey(name)) {
                output.printFailure("rollout: expected a declared rollout of service \"" + service + "\", found none");
                return ExitCode.INVALID;
            }
            List<DocumentEdit> edits = List.of(DocumentEdit.delete(name, state.version(name)));
            return ChangeApplier.apply(session, output, changeRequest("rollback of " + service), state, edits);
        }
    }
}
