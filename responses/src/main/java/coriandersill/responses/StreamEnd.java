package coriandersill.responses;

import java.util.Objects;

/**
 * Everything that is known when the stream of a run ends without an error; {@link #verdict} decides whether the
 * generation is complete.
 *
 * <p>Without framing, an engine that completes a generation, one that is told to stop it and one whose process ends all
 * close the connection, so that the end alone shows nothing.
 *
 * @param framing what tells the end of the body from the end of its connection
 * @param request what is known of the request
 * @param events the number of complete events of this run
 * @param insideEvent whether bytes of an incomplete event follow the last complete one
 * @param stop what the orders to stop generations say about this run
 * @param moving whether a move of the generation is under way
 * @param process what is known of the engine's process
 */
public record StreamEnd(
        Framing framing,
        RequestEvidence request,
        long events,
        boolean insideEvent,
        StopEvidence stop,
        boolean moving,
        ProcessEvidence process) {

    /** What becomes of the call. */
    public enum Verdict {
        /** The generation is complete. */
        COMPLETE,
        /** The engine's process must be asked, then the end is judged again. */
        ASK_PROCESS,
        /** The move goes on; if it fails, the end is judged again. */
        LEFT_TO_MOVE,
        /** The end does not show that the generation is complete; the stream counts as broken. */
        NOT_PROVEN
    }

    /**
     * Checks the arguments.
     *
     * @throws NullPointerException if an argument is null
     */
    public StreamEnd {
        Objects.requireNonNull(framing, "framing");
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(stop, "stop");
        Objects.requireNonNull(process, "process");
    }

    /**
     * Returns the decision. Framing shows only that the body has ended as its sender meant it to, so the events come
     * first.
     */
    public Verdict verdict() {
        if (endsWithoutCompleteEvent()) {
            return Verdict.NOT_PROVEN;
        }
        if (framing == Framing.DELIMITED) {
            return Verdict.COMPLETE;
        }
        return switch (stop) {
            case POSSIBLE -> Verdict.NOT_PROVEN;
            case UNDECIDED -> moving ? Verdict.LEFT_TO_MOVE : Verdict.NOT_PROVEN;
            case NONE -> verdictByProcess();
        };
    }

    private Verdict verdictByProcess() {
        return switch (bodyEnd().verdict()) {
            case WHOLE -> Verdict.COMPLETE;
            case ASK_PROCESS -> Verdict.ASK_PROCESS;
            case NOT_PROVEN -> Verdict.NOT_PROVEN;
        };
    }

    private BodyEnd bodyEnd() {
        return new BodyEnd(framing, request, process);
    }

    /** Returns why the end shows nothing, for the failure of a stream that is {@link Verdict#NOT_PROVEN}. */
    public String doubt() {
        if (insideEvent) {
            return "it ends inside an event";
        }
        if (events == 0) {
            return "it ends without an event";
        }
        return stop == StopEvidence.NONE ? bodyEnd().doubt() : "its engine may have stopped it for a move";
    }

    private boolean endsWithoutCompleteEvent() {
        return insideEvent || events == 0;
    }
}
