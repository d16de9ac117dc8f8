package coriandersill.relay;

import coriandersill.routing.LoadReport;
import java.util.Objects;
import java.util.Optional;

/**
 * What a response says of its upstream's load: nothing, a load, or something that cannot be a load.
 *
 * @param report the load at the time of the response; empty if the response states none, or an invalid one
 * @param error why the stated load is invalid: the expected and the actual value; empty if it is valid or absent
 */
public record ClaimedLoad(Optional<LoadReport> report, Optional<String> error) {
    /** For a response that states no load. */
    public static final ClaimedLoad NONE = new ClaimedLoad(Optional.empty(), Optional.empty());

    /** Rejects null. */
    public ClaimedLoad {
        Objects.requireNonNull(report, "report");
        Objects.requireNonNull(error, "error");
    }

    /** Returns a valid load. */
    public static ClaimedLoad of(LoadReport report) {
        return new ClaimedLoad(Optional.of(report), Optional.empty());
    }

    /** Returns an invalid load; {@code error} states what was expected and found. */
    public static ClaimedLoad invalid(String error) {
        return new ClaimedLoad(Optional.empty(), Optional.of(error));
    }
}
