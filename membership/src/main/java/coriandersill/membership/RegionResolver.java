package coriandersill.membership;

import coriandersill.core.AvailabilityZone;

/** Tells the region of an availability zone. */
@FunctionalInterface
public interface RegionResolver {

    /** The region of {@code zone}; zones of one region are near to each other. */
    String regionOf(AvailabilityZone zone);

    /** Returns the rule that a zone's name is its region's name, a hyphen and one more part: {@code shewa-a}. */
    static RegionResolver byPrefix() {
        return zone -> {
            int end = zone.value().lastIndexOf('-');
            return end < 0 ? zone.value() : zone.value().substring(0, end);
        };
    }
}
