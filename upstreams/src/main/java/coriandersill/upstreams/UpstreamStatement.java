package coriandersill.upstreams;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;

/**
 * What an upstream says of itself in one response.
 *
 * @param leaving whether it says that it leaves, so that it wants no new work
 * @param quietTime how long it wants no request at all, if it says so
 * @param ignoresAnyValue whether the response has values of these headers that say nothing
 */
public record UpstreamStatement(boolean leaving, Optional<Duration> quietTime, boolean ignoresAnyValue) {
    /** The statement of a response that says nothing of its upstream. */
    public static final UpstreamStatement NONE = new UpstreamStatement(false, Optional.empty(), false);

    /** The value of a header with which an upstream says that it leaves. */
    private static final String LEAVING = "1";

    private static final String NOT_LEAVING = "0";

    /** The form of Retry-After in seconds; a date or any other text is no quiet time. */
    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

    /** The maximum quiet time that is obeyed; an upstream that wants more is to leave. */
    private static final Duration MAX_QUIET_TIME = Duration.ofHours(1);

    /** Callers end a quiet time at different moments, up to this part of it later, so that work returns gradually. */
    private static final double SPREAD_FRACTION = 0.25;

    private static final Duration MAX_SPREAD = Duration.ofSeconds(1);

    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVICE_UNAVAILABLE = 503;

    /**
     * Returns what a response says of its upstream; nothing if its status says that another instance sent it.
     *
     * @param status the HTTP status; only 503 asks for a quiet time
     * @param leavingValues the values of the headers with which an upstream says that it leaves
     * @param retryAfterValues the values of Retry-After
     */
    public static UpstreamStatement of(int status, List<String> leavingValues, List<String> retryAfterValues) {
        if (status == MISDIRECTED_REQUEST) {
            return NONE;
        }
        boolean leaving = leavingValues.stream().anyMatch(value -> value.trim().equals(LEAVING));
        boolean asks = status == SERVICE_UNAVAILABLE;
        boolean ignoresAnyValue = !leavingValues.stream().allMatch(UpstreamStatement::isLeavingValue)
                || !retryAfterValues.stream()
                        .allMatch(value -> asks && parseSeconds(value).isPresent());
        return new UpstreamStatement(
                leaving, asks ? parseQuietTime(retryAfterValues) : Optional.empty(), ignoresAnyValue);
    }

    private static boolean isLeavingValue(String value) {
        return value.trim().equals(LEAVING) || value.trim().equals(NOT_LEAVING);
    }

    /** Returns the longest time that values of Retry-After state in seconds; empty if none does. */
    public static Optional<Duration> parseQuietTime(List<String> retryAfterValues) {
        return retryAfterValues.stream()
                .flatMap(value -> parseSeconds(value).stream())
                .max(Duration::compareTo);
    }

    private static Optional<Duration> parseSeconds(String value) {
        return Optional.of(value.trim())
                .filter(text -> SECONDS.matcher(text).matches())
                .map(text -> Duration.ofMillis((long) Math.ceil(Double.parseDouble(text) * 1_000)))
                .filter(time -> !time.isZero())
                .map(time -> time.compareTo(MAX_QUIET_TIME) < 0 ? time : MAX_QUIET_TIME);
    }

    /** Returns a time that is longer than {@code time} by a random part, so that callers do not return at once. */
    public static Duration spread(Duration time, RandomGenerator random) {
        long spreadNanos = Math.min(MAX_SPREAD.toNanos(), (long) (time.toNanos() * SPREAD_FRACTION));
        return time.plusNanos((long) (spreadNanos * random.nextDouble()));
    }
}
