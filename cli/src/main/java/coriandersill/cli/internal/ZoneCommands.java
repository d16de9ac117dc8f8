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
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The commands of the group {@code zone}. */
public final class ZoneCommands {
    /** How long to wait for the pings of the instances; the load of an instance without a ping counts as zero. */
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(3);

    private ZoneCommands() {}

    private static ExitCode setInService(
            Session session, Output output, ChangeApplier.ChangeRequest request, String name, boolean inService) {
        AcceptedState state = session.readState();
        AvailabilityZone zone = AvailabilityZone.of(name);
        ZoneDocument current = state.configuration()
                .zone(zone)
                .orElseThrow(() -> new IllegalArgumentException(
                        "zone: expected a declared availability zone, found \"" + name + "\""));
        ZoneDocument updated = new ZoneDocument(zone, current.region(), inService);
        List<DocumentEdit> edits = current.equals(updated)
                ? List.of()
                : List.of(DocumentEdit.put(updated, state.version(updated.documentName())));
        return ChangeApplier.apply(session, output, request, state, edits);
    }

    /** Returns the latest pings of the instances that have sent one before the timeout. */
    private static Map<InstanceId, Message.Ping> readPings(List<ListedInstance> instances) {
        try (InstanceProbe probe = new InstanceProbe(instances)) {
            probe.await(pings -> pings.size() >= instances.size(), PROBE_TIMEOUT);
            return probe.pings();
        }
    }

    /** Takes an availability zone out of service. */
    @Command(name = "out", description = "Take an availability zone out of service; it receives no new calls")
    public static final class Out extends ChangeCommand {
        @Arguments(title = "ZONE", description = "Name of the availability zone")
        private String zone = "";

        @Option(
                name = "--dry-run",
                description = "Change nothing; print the open calls of each service and the concurrency limit that"
                        + " would remain; sidecars that do not respond are not counted")
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
            Map<String, ServiceForecast> forecasts = new TreeMap<>();
            for (ListedInstance sidecar : sidecars) {
                Message.Ping ping = pings.get(sidecar.id());
                if (ping != null && ping.load().isPresent()) {
                    Message.Load load = ping.load().get();
                    boolean remainsInService = !sidecar.zone().value().equals(zone) && !ping.draining();
                    forecasts.merge(
                            sidecar.service().get().value(),
                            new ServiceForecast(load.running() + load.waiting(), remainsInService ? load.limit() : 0),
                            ServiceForecast::plus);
                }
            }
            output.printRows(forecasts.entrySet().stream()
                    .map(entry -> forecastRow(entry.getKey(), entry.getValue()))
                    .toList());
            return ExitCode.OK;
        }

        private static ObjectNode forecastRow(String service, ServiceForecast forecast) {
            return Output.row()
                    .put("service", service)
                    .put("open_calls", forecast.openCalls())
                    .put("remaining_limit", forecast.remainingLimit())
                    .put("shed", Math.max(0, forecast.openCalls() - forecast.remainingLimit()));
        }

        /** The open calls of a service in all zones, and its concurrency limit without the zone. */
        private record ServiceForecast(int openCalls, int remainingLimit) {
            ServiceForecast plus(ServiceForecast other) {
                return new ServiceForecast(openCalls + other.openCalls, remainingLimit + other.remainingLimit);
            }
        }
    }

    /** Returns an availability zone to service. */
    @Command(
            name = "in",
            description = "Return an availability zone to service; its share of the calls grows gradually")
    public static final class In extends ChangeCommand {
        @Arguments(title = "ZONE", description = "Name of the availability zone")
        private String zone = "";

        @Override
        ExitCode run(Session session, Output output) {
            return setInService(session, output, changeRequest("zone in " + zone), zone, true);
        }
    }

    /** Lists the availability zones with their state, instances and open calls. */
    @Command(name = "status", description = "List the availability zones with their state, instances and open calls")
    public static final class Status extends ToolCommand {
        @Override
        ExitCode run(Session session, Output output) {
            List<ListedInstance> instances = session.readInstances();
            Map<InstanceId, Message.Ping> pings = readPings(instances);
            List<ObjectNode> rows = session.readState().configuration().documents().values().stream()
                    .filter(ZoneDocument.class::isInstance)
                    .map(ZoneDocument.class::cast)
                    .sorted(Comparator.comparing(ZoneDocument::zone))
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
