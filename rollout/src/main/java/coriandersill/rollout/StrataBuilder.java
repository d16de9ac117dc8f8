package coriandersill.rollout;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Adds up the cells of the two versions of one service into strata. */
final class StrataBuilder {
    private final ServiceName service;
    private final VersionName from;
    private final VersionName to;
    private final Map<Place, EvidenceCell> fromCells = new HashMap<>();
    private final Map<Place, EvidenceCell> toCells = new HashMap<>();

    private record Place(RouteName route, AvailabilityZone zone) {}

    StrataBuilder(ServiceName service, VersionName from, VersionName to) {
        this.service = service;
        this.from = from;
        this.to = to;
    }

    void add(EvidenceKey key, EvidenceCell cell) {
        if (!key.service().equals(service)) {
            return;
        }
        Place place = new Place(key.route(), key.zone());
        if (key.version().equals(from)) {
            fromCells.merge(place, cell, EvidenceCell::plus);
        } else if (key.version().equals(to)) {
            toCells.merge(place, cell, EvidenceCell::plus);
        }
    }

    /** Returns the strata in which either version had calls, in order of route and zone. */
    List<Stratum> strata() {
        List<Stratum> strata = new ArrayList<>();
        Map<Place, EvidenceCell> places = new HashMap<>(fromCells);
        places.putAll(toCells);
        places.keySet()
                .forEach(place -> strata.add(new Stratum(
                        place.route(),
                        place.zone(),
                        fromCells.getOrDefault(place, EvidenceCell.empty()),
                        toCells.getOrDefault(place, EvidenceCell.empty()))));
        strata.sort(Comparator.comparing(Stratum::route).thenComparing(Stratum::zone));
        return strata;
    }
}
