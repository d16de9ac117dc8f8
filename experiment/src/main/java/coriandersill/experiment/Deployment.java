package coriandersill.experiment;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.VersionName;
import coriandersill.routing.CandidateInfo;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The engines, entries and network of one deployment.
 *
 * @param name its name in result tables
 * @param zoneNames its availability zones; engines and entries are assigned to them round-robin
 * @param engines the number of engines, each with a sidecar
 * @param entries the number of entries
 * @param betweenZonesNanos the one-way network delay between two availability zones
 * @param withinZoneNanos the one-way network delay within an availability zone
 * @param clientNanos the one-way network delay between clients and entries
 * @param engine the size and speed of each engine
 */
public record Deployment(
        String name,
        List<String> zoneNames,
        int engines,
        int entries,
        long betweenZonesNanos,
        long withinZoneNanos,
        long clientNanos,
        EngineSpec engine) {

    /** The version that every engine serves. */
    public static final VersionName VERSION = VersionName.of("v1");

    /** Copies the list. */
    public Deployment {
        zoneNames = List.copyOf(zoneNames);
    }

    /** Returns the deployment in region shewa, with eight engines. */
    public static Deployment awaj() {
        List<String> zones = List.of("shewa-a", "shewa-b", "shewa-c");
        return new Deployment("awaj", zones, 8, 3, 500_000, 50_000, 3_000_000, EngineSpec.standard());
    }

    /** Returns the deployment in region dixie-east, with six engines. */
    public static Deployment silverbend() {
        List<String> zones = List.of("dixie-east-a", "dixie-east-b", "dixie-east-c");
        return new Deployment("silverbend", zones, 6, 3, 1_500_000, 50_000, 1_000_000, EngineSpec.standard());
    }

    /** Returns the availability zone of the engine or entry with this index. */
    public AvailabilityZone zone(int index) {
        return AvailabilityZone.of(zoneNames.get(index % zoneNames.size()));
    }

    /** Returns the instance id of the sidecar of the engine with this index. */
    public InstanceId sidecarId(int index) {
        return InstanceId.of("sidecar-" + index);
    }

    /** Returns the one-way network delay between the entry and the engine with these indexes. */
    public long delayNanos(int entry, int engineIndex) {
        return zone(entry).equals(zone(engineIndex)) ? withinZoneNanos : betweenZonesNanos;
    }

    /**
     * Returns the sidecars as routing candidates.
     *
     * @param limit the concurrency limit that entries assume for a sidecar until its first load report
     */
    public List<CandidateInfo> candidates(int limit) {
        return IntStream.range(0, engines)
                .mapToObj(index ->
                        new CandidateInfo(sidecarId(index), zone(index), VERSION, limit, engine.memoryTokens()))
                .toList();
    }
}
