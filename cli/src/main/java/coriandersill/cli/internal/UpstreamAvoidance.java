package coriandersill.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import coriandersill.events.EventCode;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A time for which an instance sent nothing new to an upstream because of what the upstream said of itself.
 *
 * @param instance the instance that avoided the upstream
 * @param startedAt which start of the upstream said it, in Unix milliseconds; empty if the event does not tell
 * @param since when it was said first
 * @param until when it ended; empty if the instance did not take the upstream into service again
 * @param reason what the upstream said
 * @param source the response in which it said so first
 * @param responses the number of responses in which it said so
 */
record UpstreamAvoidance(
        String instance,
        String startedAt,
        Instant since,
        Optional<Instant> until,
        String reason,
        String source,
        int responses) {

    /** Returns the avoidances that the events of one upstream tell of, ordered by instance and time. */
    static List<UpstreamAvoidance> of(List<JsonNode> events) {
        List<JsonNode> ordered = events.stream()
                .filter(event -> time(event).isPresent())
                .sorted(Comparator.comparing((JsonNode event) -> time(event).orElseThrow()))
                .toList();
        List<UpstreamAvoidance> avoidances = new ArrayList<>();
        for (JsonNode event : ordered) {
            if (is(event, EventCode.UPSTREAM_SAID_LEAVING)) {
                add(avoidances, of(event, nextJoin(event, ordered)));
            } else if (is(event, EventCode.UPSTREAM_QUIET)) {
                add(avoidances, of(event, Optional.of(quietEnd(event))));
            }
        }
        avoidances.sort(Comparator.comparing(UpstreamAvoidance::instance).thenComparing(UpstreamAvoidance::since));
        return avoidances;
    }

    private static UpstreamAvoidance of(JsonNode event, Optional<Instant> until) {
        String call = event.path("call").asText();
        return new UpstreamAvoidance(
                event.path("instance").asText(),
                event.path("started_ms").asText(),
                time(event).orElseThrow(),
                until,
                event.path("text").asText(),
                call.isEmpty() ? "a response of the upstream" : "its response to call " + call,
                1);
    }

    /** Adds an avoidance, or extends the earlier one that it continues. */
    private static void add(List<UpstreamAvoidance> avoidances, UpstreamAvoidance added) {
        for (int i = 0; i < avoidances.size(); i++) {
            if (avoidances.get(i).isContinuedBy(added)) {
                avoidances.set(i, avoidances.get(i).extendedBy(added));
                return;
            }
        }
        avoidances.add(added);
    }

    private boolean isContinuedBy(UpstreamAvoidance later) {
        return instance.equals(later.instance)
                && startedAt.equals(later.startedAt)
                && reason.equals(later.reason)
                && until.map(end -> !later.since.isAfter(end)).orElse(true);
    }

    private UpstreamAvoidance extendedBy(UpstreamAvoidance later) {
        Optional<Instant> latest = until.flatMap(end -> later.until.map(other -> other.isAfter(end) ? other : end));
        return new UpstreamAvoidance(instance, startedAt, since, latest, reason, source, responses + 1);
    }

    /** Returns when the instance took an upstream that said that it leaves into service again. */
    private static Optional<Instant> nextJoin(JsonNode leaving, List<JsonNode> ordered) {
        return ordered.stream()
                .filter(event -> is(event, EventCode.INSTANCE_JOINED)
                        && event.path("instance").equals(leaving.path("instance")))
                .flatMap(event -> time(event).stream())
                .filter(time -> time.isAfter(time(leaving).orElseThrow()))
                .findFirst();
    }

    private static Instant quietEnd(JsonNode quiet) {
        return time(quiet)
                .orElseThrow()
                .plus(Duration.ofMillis(quiet.path("obeyed_ms").asLong()));
    }

    private static boolean is(JsonNode event, EventCode code) {
        return event.path("event").asInt() == code.number();
    }

    private static Optional<Instant> time(JsonNode event) {
        try {
            return Optional.of(Instant.parse(event.path("time").asText()));
        } catch (DateTimeParseException notWrittenByAnInstance) {
            return Optional.empty();
        }
    }
}
