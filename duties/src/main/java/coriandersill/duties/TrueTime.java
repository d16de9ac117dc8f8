package coriandersill.duties;

import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * The true time as the median of the clocks of all entries, so that the clocks of a minority may be wrong by any
 * amount. Not thread-safe.
 */
public final class TrueTime {
    /** The age from which an entry's clock is left out; entries are asked about once a second. */
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(30).toNanos();

    private final InstanceId self;
    private final MonotonicClock clock;
    private final WallClockEstimate own;
    private final Map<InstanceId, Reading> readings = new HashMap<>();

    private record Reading(long differenceMillis, long readAtNanos) {}

    private TrueTime(InstanceId self, MonotonicClock clock, WallClockEstimate own) {
        this.self = self;
        this.clock = clock;
        this.own = own;
    }

    /** Returns the time as this entry alone knows it. */
    public static TrueTime create(InstanceId self, MonotonicClock clock, WallClockEstimate own) {
        return new TrueTime(self, clock, own);
    }

    /**
     * Records the clock of another entry.
     *
     * @param entry the entry
     * @param wallMillis its clock, in milliseconds after 1970, halfway between the request and the answer
     * @param askedAtNanos when it was asked, by this entry's monotonic clock
     */
    public void record(InstanceId entry, long wallMillis, long askedAtNanos) {
        long now = clock.nanos();
        long halfwayNanos = askedAtNanos + (now - askedAtNanos) / 2;
        readings.put(entry, new Reading(wallMillis - halfwayNanos / 1_000_000, now));
    }

    /** Returns the time in milliseconds after 1970. */
    public long millis() {
        long now = clock.nanos();
        readings.values().removeIf(reading -> now - reading.readAtNanos() > MAX_AGE_NANOS);
        readings.put(self, new Reading(own.millis() - now / 1_000_000, now));
        return now / 1_000_000
                + Medians.of(readings.values().stream()
                        .map(Reading::differenceMillis)
                        .toList());
    }
}
