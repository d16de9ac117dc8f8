package coriandersill.soak;

import java.util.ArrayList;
import java.util.List;

/** Series of faults that run beside each other. */
record CombinedSeries(List<FaultSeries> series) implements FaultSeries {
    @Override
    public void start() {
        series.forEach(FaultSeries::start);
    }

    @Override
    public List<String> stop() throws InterruptedException {
        List<String> faults = new ArrayList<>();
        for (FaultSeries each : series) {
            faults.addAll(each.stop());
        }
        return faults;
    }
}
