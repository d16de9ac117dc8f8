package coriandersill.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import coriandersill.core.InstanceId;
import coriandersill.events.EventCode;
import coriandersill.responses.Framing;
import coriandersill.responses.GenerationRun;
import coriandersill.responses.ProcessEvidence;
import coriandersill.responses.StopEvidence;
import coriandersill.responses.StopOrder;
import coriandersill.responses.StreamEnd;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Explains the events of one generation at one instance: which run was sent to which engine, what became of each order
 * to stop a run, and why the end of a stream counted as complete or not.
 *
 * <p>Not thread-safe.
 */
final class GenerationExplainer {
    private final Map<Integer, StopOrder> orders = new TreeMap<>();
    private int moves;

    /** Returns the meaning of the next event, in the order of time; empty if its text says all. */
    String next(JsonNode event) {
        int number = event.path("event").asInt();
        if (number == EventCode.CALL_SENT.number()) {
            return explainSent(event);
        }
        if (number == EventCode.GENERATION_MOVING.number()) {
            moves++;
            return "move " + moves + " of the call, away from " + text(event, "engine");
        }
        if (number == EventCode.GENERATION_STOP_ORDERED.number()) {
            return explainOrder(event);
        }
        if (number == EventCode.GENERATION_STOP_SETTLED.number()) {
            return explainSettled(event);
        }
        if (number == EventCode.STREAM_END_JUDGED.number()) {
            return explainEnd(event);
        }
        return isEndOfCall(number) ? explainPendingOrders() : "";
    }

    private static boolean isEndOfCall(int number) {
        return number == EventCode.CALL_ANSWERED.number()
                || number == EventCode.CALL_FAILED.number()
                || number == EventCode.CALLER_LEFT.number();
    }

    private String explainSent(JsonNode event) {
        return run(event, "upstream")
                .map(run -> describe(run) + describeOutstanding(run))
                .orElse("");
    }

    /** Names the orders for earlier runs at the engine of {@code run} that may still be carried out there. */
    private String describeOutstanding(GenerationRun run) {
        List<String> outstanding = ordersThatMayStop(run).stream()
                .map(order -> Integer.toString(order.number()))
                .toList();
        return outstanding.isEmpty() ? "" : ", which may still carry out order " + String.join(", ", outstanding);
    }

    private String explainOrder(JsonNode event) {
        int order = event.path("order").asInt();
        Optional<GenerationRun> run = run(event, "engine");
        run.ifPresent(ordered -> orders.put(order, new StopOrder(order, ordered, StopOrder.State.PENDING)));
        return run.map(ordered -> "order " + order + " to stop " + describe(ordered))
                .orElse("");
    }

    private String explainSettled(JsonNode event) {
        StopOrder order = orders.get(event.path("order").asInt());
        Optional<StopOrder.State> state = constant(StopOrder.State.class, text(event, "state"));
        if (order == null || state.isEmpty()) {
            return "";
        }
        StopOrder settled = new StopOrder(order.number(), order.run(), state.get());
        orders.put(settled.number(), settled);
        return "order " + settled.number() + describeState(settled);
    }

    private static String describeState(StopOrder order) {
        InstanceId engine = order.run().engine();
        int run = order.run().number();
        return switch (order.state()) {
            case PENDING -> " has no answer yet";
            case NOT_CARRIED_OUT -> " was not carried out, it did not stop run " + run;
            case ANSWERED -> " was answered, " + engine + " may have stopped run " + run;
            case UNANSWERED -> " was lost, " + engine + " may carry it out later, also on a later run of the call";
        };
    }

    private String explainEnd(JsonNode event) {
        Optional<GenerationRun> run = run(event, "upstream");
        Optional<StreamEnd.Verdict> verdict = constant(StreamEnd.Verdict.class, text(event, "verdict"));
        if (run.isEmpty() || verdict.isEmpty()) {
            return "";
        }
        return describe(run.get()) + " ended" + describeEvidence(event, run.get()) + ": " + describe(verdict.get());
    }

    /** Describes the evidence that decided about the end of {@code run}. */
    private String describeEvidence(JsonNode event, GenerationRun run) {
        if (event.path("inside_event").asBoolean()) {
            return " inside an event";
        }
        if (event.path("events").asLong() == 0) {
            return " without an event";
        }
        if (text(event, "framing").equals(Framing.DELIMITED.name())) {
            return " with its framing";
        }
        List<StopOrder> possible = ordersThatMayStop(run);
        if (!possible.isEmpty()) {
            return possible.stream().map(order -> describe(order, run)).collect(Collectors.joining());
        }
        return isUnknownOrderPossible(event)
                ? ", an order that is not among these lines may have stopped it"
                : ", no order can have stopped it" + describeProcess(event);
    }

    /** Returns whether the end was judged by an order, whose lines are missing. */
    private static boolean isUnknownOrderPossible(JsonNode event) {
        return constant(StopEvidence.class, text(event, "orders"))
                .filter(evidence -> evidence != StopEvidence.NONE)
                .isPresent();
    }

    private static String describeProcess(JsonNode event) {
        return constant(ProcessEvidence.class, text(event, "process"))
                .map(process -> switch (process) {
                    case NOT_ASKED -> "";
                    case RUNNING -> ", the engine's process runs";
                    case NOT_KNOWN_TO_RUN -> ", the engine's process has ended or could not be asked";
                })
                .orElse("");
    }

    private static String describe(StopOrder order, GenerationRun run) {
        String name = ", order " + order.number();
        if (!order.run().equals(run)) {
            return name + " for run " + order.run().number()
                    + " at the same engine outlived its move and may have stopped it";
        }
        return name
                + " to stop it "
                + switch (order.state()) {
                    case PENDING -> "has no answer yet";
                    case NOT_CARRIED_OUT -> "was not carried out";
                    case ANSWERED -> "was answered";
                    case UNANSWERED -> "was lost";
                };
    }

    private static String describe(StreamEnd.Verdict verdict) {
        return switch (verdict) {
            case COMPLETE -> "complete";
            case ASK_PROCESS -> "its process is asked";
            case LEFT_TO_MOVE -> "the move decides";
            case NOT_PROVEN -> "not proven to be complete";
        };
    }

    private String explainPendingOrders() {
        List<String> pending = orders.values().stream()
                .filter(order -> order.state() == StopOrder.State.PENDING)
                .map(order -> Integer.toString(order.number()))
                .toList();
        return pending.isEmpty() ? "" : "before an answer to order " + String.join(", ", pending);
    }

    private List<StopOrder> ordersThatMayStop(GenerationRun run) {
        return orders.values().stream()
                .filter(order -> order.mayHaveStopped(run))
                .toList();
    }

    private static String describe(GenerationRun run) {
        return "run " + run.number() + " at " + run.engine();
    }

    /** Returns the run that an event is about; empty if it names none. */
    private static Optional<GenerationRun> run(JsonNode event, String engineField) {
        int number = event.path("run").asInt();
        return number < 1
                ? Optional.empty()
                : InstanceId.parse(text(event, engineField)).map(engine -> new GenerationRun(number, engine));
    }

    /** Returns the constant that a log names; empty if this version does not know it. */
    private static <E extends Enum<E>> Optional<E> constant(Class<E> type, String name) {
        return Arrays.stream(type.getEnumConstants())
                .filter(constant -> constant.name().equals(name))
                .findFirst();
    }

    private static String text(JsonNode event, String field) {
        return event.path(field).asText();
    }
}
