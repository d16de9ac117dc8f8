package coriandersill.cli.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import coriandersill.cli.ExitCode;
import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.DocumentEdit;
import coriandersill.configuration.ZoneDocument;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.sharedlog.ListedInstance;
import coriandersill.wire.Message;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/** The commands of the group {@code zone}. */
public final class ZoneCommands {
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(3);

    private ZoneCommands() {}

    private static ExitCode setInService(
            Session session, Output output, ChangeApplier.ChangeRequest order, String name, boolean inService) {
        AcceptedState state = session.readState();
        AvailabilityZone zone = AvailabilityZone.of(name);
        ZoneDocument current = state.configuration()
                .zone(zone)
                .orElseThrow(
                        () -> new IllegalArgumentException("zone: expected a declared one, found \"" + name + "\""));
        ZoneDocument updated = new ZoneDocument(zone, current.region(), inService);
        List<DocumentEdit> edits = current.equals(updated)
                ? List.of()
                : List.of(DocumentEdit.put(updated, state.version(updated.documentName())));
        return ChangeApplier.apply(session, output, order, state, edits);
    }

    private static Map<InstanceId, Message.Ping> readPings(List<ListedInstance> instances) {
        try (InstanceProbe probe = new InstanceProbe(instances)) {
            probe.await(pings -> pings.size() >= instances.size(), PROBE_TIMEOUT);
            return probe.pings();
        }
    }

    /** Takes an availability zone out of service. */
    @Command(name = "out", description = "Take an availability zone out of service; no new work goes there")
    public static final class Out extends ChangeCommand {
        @Arguments(title = "ZONE", description = "The availability zone")
        private String zone = "";

        @Option(name = "--dry-run", description = "Only tell what the other zones would carry")
        private boolean dryRun;

        @Override
        ExitCode run(Session session, Output output) {
            return dryRun
                    ? forecast(session, output)
                    : setInService(session, output, changeRequest("zone out " + zone), zone, false);
        }

        private ExitCode forecast(Session session, Output output) {
            List<ListedInstance> sidecars = session.readInstances().stream()
                    .filter(instance -> instance.service().isPresent())
                    .toList();
            Map<InstanceId, Message.Ping> pings = readPings(sidecars);
            Map<String, int[]> services = new java.util.TreeMap<>();
            for (ListedInstance sidecar : sidecars) {
                Message.Ping ping = pings.get(sidecar.id());
                if (ping != null && ping.load().isPresent()) {
                    int[] sums =
                            services.computeIfAbsent(sidecar.service().get().value(), name -> new int[2]);
                    sums[0] += ping.load().get().running() + ping.load().get().waiting();
                    boolean remains = !sidecar.zone().value().equals(zone) && !ping.draining();
                    sums[1] += remains ? ping.load().get().limit() : 0;
                }
            }
            output.printRows(services.entrySet().stream()
                    .map(entry -> Output.row()
                            .put("service", entry.getKey())
                            .put("open_calls", entry.getValue()[0])
                            .put("remaining_limit", entry.getValue()[1])
                            .put("shed", Math.max(0, entry.getValue()[0] - entry.getValue()[1])))
                    .toList());
            return ExitCode.OK;
        }
    }

    /** Brings an availability zone back into service. */
    @Command(name = "in", description = "Bring an availability zone back into service; its share grows over a while")
    public static final class In extends ChangeCommand {
        @Arguments(title = "ZONE", description = "The availability zone")
        private String zone = "";

        @Override
        ExitCode run(Session session, Output output) {
            return setInService(session, output, changeRequest("zone in " + zone), zone, true);
        }
    }

    /** Shows the availability zones with their open calls. */
    @Command(name = "status", description = "Show the availability zones with their open calls")
    public static final class Status extends ToolCommand {
        @Override
        ExitCode run(Session session, Output output) {
            List<ListedInstance> instances = session.readInstances();
            Map<InstanceId, Message.Ping> pings = readPings(instances);
            List<ObjectNode> rows = session.readState().configuration().documents().values().stream()
                    .filter(ZoneDocument.class::isInstance)
                    .map(ZoneDocument.class::cast)
                    .sorted(java.util.Comparator.comparing(ZoneDocument::zone))
                    .map(zone -> row(zone, instances, pings))
                    .toList();
            output.printRows(rows);
            return ExitCode.OK;
        }

        private static ObjectNode row(
                ZoneDocument zone, List<ListedInstance> instances, Map<InstanceId, Message.Ping> pings) {
            List<ListedInstance> zoneInstances = instances.stream()
                    .filter(instance -> instance.zone().equals(zone.zone()))
                    .toList();
            int openCalls = zoneInstances.stream()
                    .map(instance -> pings.get(instance.id()))
                    .filter(ping -> ping != null && ping.load().isPresent())
                    .mapToInt(ping ->
                            ping.load().get().running() + ping.load().get().waiting())
                    .sum();
            return Output.row()
                    .put("zone", zone.zone().value())
                    .put("region", zone.region())
                    .put("in_service", zone.inService())
                    .put("instances", zoneInstances.size())
                    .put("open_calls", openCalls);
        }
    }
}
