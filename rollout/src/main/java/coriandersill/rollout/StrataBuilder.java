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

/** Aggregates the evidence cells of the two versions of a service into one stratum per route and zone. */
final class StrataBuilder {
    private final ServiceName service;
    private final VersionName from;
    private final VersionName to;
    private final Map<RouteZone, EvidenceCell> fromCells = new HashMap<>();
    private final Map<RouteZone, EvidenceCell> toCells = new HashMap<>();

    private record RouteZone(RouteName route, AvailabilityZone zone) {}

    StrataBuilder(ServiceName service, VersionName from, VersionName to) {
        this.service = service;
        this.from = from;
        this.to = to;
    }

    void add(EvidenceKey key, EvidenceCell cell) {
        if (!key.service().equals(service)) {
            return;
        }
        RouteZone routeZone = new RouteZone(key.route(), key.zone());
        if (key.version().equals(from)) {
            fromCells.merge(routeZone, cell, EvidenceCell::plus);
        } else if (key.version().equals(to)) {
            toCells.merge(routeZone, cell, EvidenceCell::plus);
        }
    }

    /** Returns the strata in which either version has calls, ordered by route and zone. */
    List<Stratum> build() {
        List<Stratum> strata = new ArrayList<>();
        Map<RouteZone, EvidenceCell> cells = new HashMap<>(fromCells);
        cells.putAll(toCells);
        cells.keySet()
                .forEach(routeZone -> strata.add(new Stratum(
                        routeZone.route(),
                        routeZone.zone(),
                        fromCells.getOrDefault(routeZone, EvidenceCell.empty()),
                        toCells.getOrDefault(routeZone, EvidenceCell.empty()))));
        strata.sort(Comparator.comparing(Stratum::route).thenComparing(Stratum::zone));
        return strata;
    }
}
