package coriandersill.configuration;

import coriandersill.core.AvailabilityZone;
import java.util.Objects;

/**
 * An availability zone and whether it is in service.
 *
 * @param zone the availability zone
 * @param region the region it belongs to
 * @param inService whether it accepts new work
 */
public record ZoneDocument(AvailabilityZone zone, String region, boolean inService) implements Document {

    /** Rejects null. */
    public ZoneDocument {
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(region, "region");
    }

    @Override
    public DocumentName documentName() {
        return DocumentName.of(DocumentKind.ZONE, zone.value());
    }
}
