package coriandersill.cli.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import coriandersill.cli.ExitCode;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.core.InstanceId;
import coriandersill.events.EventCode;
import coriandersill.sharedlog.ListedInstance;
import coriandersill.wire.Message;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** The read-only commands outside a group. */
public final class InspectCommands {
    /** How long to wait for the pings of the sidecars; a sidecar without a ping is shown as unreachable. */
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(3);

    private InspectCommands() {}

    /** Lists the sidecars with the load of their upstreams. */
    @Command(name = "upstreams", description = "List the sidecars with the load of their upstreams")
    public static final class Upstreams extends ToolCommand {
        @Override
        ExitCode run(Session session, Output output) {
            List<ListedInstance> sidecars = session.readInstances().stream()
                    .filter(instance -> instance.service().isPresent())
                    .sorted(Comparator.comparing(ListedInstance::id))
                    .toList();
            try (InstanceProbe probe = new InstanceProbe(sidecars)) {
                probe.await(pings -> pings.size() >= sidecars.size(), PROBE_TIMEOUT);
                Map<InstanceId, Message.Ping> pings = probe.pings();
                output.printRows(sidecars.stream()
                        .map(sidecar -> row(sidecar, pings.get(sidecar.id())))
                        .toList());
            }
            return ExitCode.OK;
        }

        private static ObjectNode row(ListedInstance sidecar, Message.Ping ping) {
            ObjectNode row = Output.row()
                    .put("instance", sidecar.id().value())
                    .put("zone", sidecar.zone().value())
                    .put("service", sidecar.service().map(Object::toString).orElse(""))
                    .put("version", sidecar.version().map(Object::toString).orElse(""));
            if (ping == null || ping.load().isEmpty()) {
                return row.put("state", "unreachable");
            }
            Message.Load load = ping.load().get();
            return row.put("state", ping.draining() ? "draining" : load.cold() ? "cold" : "warm")
                    .put("running", load.running())
                    .put("waiting", load.waiting())
                    .put("limit", load.limit())
                    .put("reserved_tokens", load.reservedTokens())
                    .put("configuration", ping.configurationPosition());
        }
    }

    /** Lists the workspaces with their weights, limits and services. */
    @Command(name = "workspaces", description = "List the workspaces with their weights, limits and services")
    public static final class Workspaces extends ToolCommand {
        @Override
        ExitCode run(Session session, Output output) {
            output.printRows(session.readState().configuration().documents().values().stream()
                    .filter(WorkspaceDocument.class::isInstance)
                    .map(WorkspaceDocument.class::cast)
                    .sorted(Comparator.comparing(WorkspaceDocument::name))
                    .map(workspace -> Output.row()
                            .put("workspace", workspace.name().value())
                            .put("weight", workspace.weight())
                            .put("max_concurrency", workspace.maxConcurrency())
                            .put("tokens_per_second", workspace.tokensPerSecond())
                            .put("services", workspace.services().toString()))
                    .toList());
            return ExitCode.OK;
        }
    }

    /** Lists the audit records of automatic actions. */
    @Command(name = "audit", description = "List the audit records of automatic actions, such as rollout transitions")
    public static final class Audit extends ToolCommand {
        @Override
        ExitCode run(Session session, Output output) {
            output.printRows(session.readStream("audit").stream()
                    .map(record -> Output.row()
                            .put("offset", record.offset())
                            .put("time", record.time().toString())
                            .put("record", new String(record.data(), StandardCharsets.UTF_8)))
                    .toList());
            return ExitCode.OK;
        }
    }

    /** Describes one event code, or lists all of them. */
    @Command(name = "events", description = "Describe an event code, or list all event codes")
    public static final class Events extends ToolCommand {
        @Arguments(title = "NUMBER", description = "Number of the event code (default: list all)")
        private int number = -1;

        @Override
        ExitCode run(Session session, Output output) {
            output.printRows(Arrays.stream(EventCode.values())
                    .filter(code -> number < 0 || code.number() == number)
                    .map(code -> Output.row()
                            .put("event", code.number())
                            .put("name", code.name())
                            .put("level", code.level().name())
                            .put("text", code.text()))
                    .toList());
            return ExitCode.OK;
        }
    }
}
