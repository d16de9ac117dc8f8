package coriandersill.membership;

import coriandersill.core.AvailabilityZone;

/** Maps availability zones to regions. */
@FunctionalInterface
public interface RegionResolver {

    /** Returns the region of {@code zone}; zones of one region are close to each other. */
    String regionOf(AvailabilityZone zone);

    /** Returns a resolver for zone names that consist of the region's name, a hyphen and a suffix: {@code shewa-a}. */
    static RegionResolver byPrefix() {
        return zone -> {
            int end = zone.value().lastIndexOf('-');
            return end < 0 ? zone.value() : zone.value().substring(0, end);
        };
    }
}
