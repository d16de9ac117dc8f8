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
 * @param betweenZonesDelayNanos the one-way network delay between two availability zones
 * @param withinZoneDelayNanos the one-way network delay within an availability zone
 * @param clientDelayNanos the one-way network delay between clients and entries
 * @param engineSpec the size and speed of each engine
 */
public record Deployment(
        String name,
        List<String> zoneNames,
        int engines,
        int entries,
        long betweenZonesDelayNanos,
        long withinZoneDelayNanos,
        long clientDelayNanos,
        EngineSpec engineSpec) {

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
    public long delayNanos(int entryIndex, int engineIndex) {
        return zone(entryIndex).equals(zone(engineIndex)) ? withinZoneDelayNanos : betweenZonesDelayNanos;
    }

    /**
     * Returns the sidecars as routing candidates.
     *
     * @param assumedLimit the concurrency limit that entries assume for a sidecar until its first load report
     */
    public List<CandidateInfo> candidates(int assumedLimit) {
        return IntStream.range(0, engines)
                .mapToObj(index -> new CandidateInfo(
                        sidecarId(index), zone(index), VERSION, assumedLimit, engineSpec.memoryTokens()))
                .toList();
    }
}
