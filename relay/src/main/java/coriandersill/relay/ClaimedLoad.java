package coriandersill.relay;

import coriandersill.routing.LoadReport;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * What a response says of its upstream's load: nothing, a load, or something that cannot be a load.
 *
 * @param pacePercent how long work takes on the upstream's machine at the time of the response, in percent of the usual
 *     time; empty if the response does not state it
 * @param report the load at the time of the response; empty if the response states none, or an invalid one
 * @param error why the stated load is invalid: the expected and the actual value; empty if it is valid or absent
 */
public record ClaimedLoad(OptionalInt pacePercent, Optional<LoadReport> report, Optional<String> error) {
    /** For a response that states no load. */
    public static final ClaimedLoad NONE = new ClaimedLoad(OptionalInt.empty(), Optional.empty(), Optional.empty());

    /** Rejects null. */
    public ClaimedLoad {
        Objects.requireNonNull(pacePercent, "pacePercent");
        Objects.requireNonNull(report, "report");
        Objects.requireNonNull(error, "error");
    }

    /** Returns a valid load without a pace. */
    public static ClaimedLoad of(LoadReport report) {
        return new ClaimedLoad(OptionalInt.empty(), Optional.of(report), Optional.empty());
    }

    /** Returns a valid load with a pace in percent, at least 1. */
    public static ClaimedLoad of(LoadReport report, int pacePercent) {
        return new ClaimedLoad(OptionalInt.of(pacePercent), Optional.of(report), Optional.empty());
    }

    /** Returns an invalid load; {@code error} states what was expected and found. */
    public static ClaimedLoad invalid(String error) {
        return new ClaimedLoad(OptionalInt.empty(), Optional.empty(), Optional.of(error));
    }
}
