package coriandersill.events;

import java.lang.System.Logger.Level;

/**
 * The catalogue of log events. A test checks that docs/EVENTS.md lists the same events.
 *
 * <p>Numbers are never reused: 1xx lifecycle, 2xx configuration, 3xx membership, wire and engine reports, 4xx calls,
 * moves of generations and entry shares, 5xx the state of upstreams, 6xx rollouts and availability zones, 7xx leases
 * and orders refused by their fencing token, 8xx the platform's services, 9xx limits of this process.
 */
public enum EventCode {
    /** A daemon is ready. */
    DAEMON_READY(100, Level.INFO, "daemon is ready"),
    /** A daemon accepts no new work and waits for running work to complete. */
    DAEMON_DRAINING(101, Level.INFO, "daemon drains"),
    /** A daemon has completed its remaining work and stopped. */
    DAEMON_STOPPED(102, Level.INFO, "daemon has stopped"),
    /** A drain reached its deadline with work still running. */
    DRAIN_DEADLINE(103, Level.WARNING, "drain deadline passed with work still running"),
    /** The worker pool's queue is full. */
    WORKERS_SATURATED(104, Level.WARNING, "worker queue is full"),
    /** The settings file was read again and is valid; it takes effect at the next start. */
    SETTINGS_READ(105, Level.INFO, "settings read"),
    /** The settings are invalid: the daemon does not start or, on a reload, keeps its previous settings. */
    SETTINGS_WRONG(106, Level.ERROR, "settings are invalid"),
    /** A step of a loop, such as a read of a topic, failed by an unexpected error; the loop continues. */
    LOOP_STEP_FAILED(107, Level.ERROR, "step of a loop failed"),
    /** A loop has made no progress for its bound; the details give its last error, if there was one. */
    LOOP_STALLED(108, Level.ERROR, "loop makes no progress"),
    /** A loop that had stalled makes progress again. */
    LOOP_RESUMED(109, Level.INFO, "loop makes progress again"),
    /** A change set has taken effect in this process. */
    CONFIGURATION_APPLIED(200, Level.INFO, "configuration applied"),
    /** A change set was rejected when it was applied to the current configuration. */
    CONFIGURATION_REFUSED(201, Level.WARNING, "change set refused"),
    /**
     * Offsets of a stream or topic have a gap, a duplicate or a restart, or a record was lost, skipped or undecided.
     */
    CONFIGURATION_OFFSETS(202, Level.WARNING, "configuration stream offsets are not consecutive"),
    /** A newer configuration state was received from a peer. */
    CONFIGURATION_FROM_PEER(203, Level.INFO, "configuration received from a peer"),
    /** The accepted documents were republished before their retention expires. */
    SNAPSHOT_PUBLISHED(204, Level.INFO, "snapshot published"),
    /** An operator's document or an upstream's listing could not be read and was ignored. */
    DOCUMENT_UNREADABLE(205, Level.WARNING, "operator's document ignored"),
    /** A connection to a peer was opened. */
    PEER_CONNECTED(300, Level.INFO, "peer connected"),
    /** A connection to a peer was closed. */
    PEER_LOST(301, Level.WARNING, "peer connection lost"),
    /** A frame was dropped because its call, attempt or token index did not match. */
    FRAME_DROPPED(302, Level.WARNING, "frame dropped"),
    /** A peer sent a frame that this version does not support. */
    FRAME_UNKNOWN(303, Level.WARNING, "unknown frame ignored"),
    /** An instance is in service. */
    INSTANCE_JOINED(310, Level.INFO, "instance in service"),
    /** An instance is leaving or has left. */
    INSTANCE_LEFT(311, Level.INFO, "instance out of service"),
    /** The instance list is empty, stale or unavailable and was not applied. */
    INSTANCE_LIST_DOUBTED(312, Level.WARNING, "instance list not applied"),
    /** An engine did not answer a request for its report. */
    ENGINE_SILENT(313, Level.WARNING, "engine does not report"),
    /**
     * Connections to an engine broke; the details state whether its process ended and which generations had not begun.
     */
    ENGINE_BROKE(314, Level.WARNING, "connections to an engine broke"),
    /** A call failed. */
    CALL_FAILED(400, Level.INFO, "call failed"),
    /** A call was sent to another upstream after a rejection, or after a failure before the first token. */
    CALL_RETRIED(401, Level.INFO, "call retried"),
    /** The outcome of a call that is not idempotent is unknown. */
    OUTCOME_UNKNOWN(402, Level.WARNING, "outcome unknown"),
    /** A call was accepted: its route, workspace and time budget are determined. */
    CALL_TAKEN(403, Level.INFO, "call accepted"),
    /** A request is sent to an upstream. */
    CALL_SENT(404, Level.INFO, "call sent"),
    /** The selected upstream went out of service before the request was sent. */
    CALL_HELD_BACK(405, Level.INFO, "call not sent, its upstream went out of service"),
    /** An attempt failed; the details state whether it is retried. */
    CALL_ATTEMPT_FAILED(406, Level.INFO, "attempt failed"),
    /** The first event of a stream was sent to the caller. */
    CALL_FIRST_EVENT(407, Level.INFO, "first event"),
    /** The complete response was sent to the caller. */
    CALL_ANSWERED(408, Level.INFO, "call answered"),
    /** A call was rejected before it was accepted, for example because it is malformed or the process is stopping. */
    CALL_REFUSED(409, Level.INFO, "call refused"),
    /** The caller disconnected before the response was complete. */
    CALLER_LEFT(410, Level.INFO, "caller disconnected"),
    /**
     * The trace of a call is longer than its maximum length; decisions between its first and last ones were not
     * recorded.
     */
    CALL_LINES_DROPPED(411, Level.WARNING, "trace of a call truncated"),
    /** A generation was refused because a part of its prompt has crashed engines; the details give the evidence. */
    CALL_QUARANTINED(412, Level.INFO, "call refused, its prompt has crashed engines"),
    /** A generation was admitted to test whether a part of its prompt still crashes engines. */
    QUARANTINE_PROBE(413, Level.INFO, "call tests a quarantined prompt part"),
    /** A step of a call threw an error, which failed the call. */
    CALL_STEP_FAILED(414, Level.ERROR, "step of a call failed"),
    /** A generation was refused because no engine will have room for it in time. */
    GENERATION_REFUSED(415, Level.INFO, "generation refused, no room in time"),
    /** A generation that found no engine with room was sent to one where it waits. */
    GENERATION_SENT_WITHOUT_ROOM(416, Level.INFO, "generation sent to a full engine"),
    /** The move of a running generation has started, because its engine is leaving or its stream broke. */
    GENERATION_MOVING(420, Level.INFO, "generation is moving"),
    /** A generation continues on another engine. */
    GENERATION_MOVED(421, Level.INFO, "generation moved"),
    /** A step of a move failed. */
    GENERATION_MOVE_HINDERED(422, Level.INFO, "move hindered"),
    /** The copy of a running generation to another engine has finished. */
    GENERATION_COPIED(423, Level.INFO, "generation copied"),
    /** The order in which generations move off a leaving engine is determined. */
    MOVES_PLANNED(424, Level.INFO, "moves planned"),
    /** This entry's share of the budgets common to all entries, such as retries, has changed. */
    SHARE_CHANGED(425, Level.INFO, "share changed"),
    /** The store did not return this entry's share; the last known share stays in use. */
    SHARE_KEPT(426, Level.INFO, "share not refreshed"),
    /** Generations with a prompt part are refused from now on; the details give the evidence. */
    PART_QUARANTINED(430, Level.WARNING, "prompt part quarantined"),
    /** A prompt part is no longer quarantined. */
    PART_RELEASED(431, Level.INFO, "prompt part released"),
    /** An engine is told to stop a generation, so that the rest of it is copied. */
    GENERATION_STOP_ORDERED(432, Level.INFO, "generation told to stop"),
    /** What is known of an order to stop a generation, from its answer or its lack. */
    GENERATION_STOP_SETTLED(433, Level.INFO, "order to stop settled"),
    /** The end of a stream whose framing does not show it, or that was to stop, was judged; the details have why. */
    STREAM_END_JUDGED(434, Level.INFO, "end of a stream judged"),
    /** An upstream has returned to the cold state. */
    UPSTREAM_COLD(500, Level.WARNING, "upstream is cold"),
    /** An upstream has shown that it sustains its full limit. */
    UPSTREAM_WARM(501, Level.INFO, "upstream is warm"),
    /** An upstream was ejected for a route. */
    ROUTE_EJECTED(502, Level.WARNING, "upstream ejected for a route"),
    /** An upstream was restored for a route. */
    ROUTE_RESTORED(503, Level.INFO, "upstream restored for a route"),
    /** A response states a load of its upstream that is malformed or contradicts the listing. */
    CLAIMED_LOAD_IGNORED(504, Level.INFO, "load stated by an upstream ignored"),
    /** Streams at an engine are much slower than at its peers; all entries avoid it for a while. */
    ENGINE_SLOW(505, Level.WARNING, "engine is slow"),
    /** Streams at an engine that was slow are as fast as usual. */
    ENGINE_USUAL(506, Level.INFO, "engine is no longer slow"),
    /** An upstream said in a response that it leaves; it gets no new work, whatever its listing says. */
    UPSTREAM_SAID_LEAVING(507, Level.INFO, "upstream says that it leaves"),
    /** An upstream refused a request and asked for no further one for a time, which is obeyed. */
    UPSTREAM_QUIET(508, Level.INFO, "upstream asks for no requests"),
    /** The lasting pace of an engine was published to the other entries, or confirmed. */
    ENGINE_PACE_LEARNED(509, Level.INFO, "pace of an engine published"),
    /** An upstream states a pace that contradicts what this entry observes there; it is ignored from then on. */
    STATED_PACE_IGNORED(510, Level.WARNING, "pace stated by an upstream ignored"),
    /** The state of a rollout has changed. */
    ROLLOUT_CHANGED(600, Level.INFO, "rollout state changed"),
    /** A version was judged to be bad and receives no new work from this instance. */
    VERSION_STOPPED(601, Level.WARNING, "version stopped on local evidence"),
    /** An entry proposed what operators are told of a rollout. */
    ROLLOUT_STATED(602, Level.INFO, "rollout stated"),
    /** An availability zone was taken out of service on this instance. */
    ZONE_OUT(610, Level.INFO, "availability zone out of service"),
    /** An availability zone was returned to service on this instance. */
    ZONE_IN(611, Level.INFO, "availability zone in service"),
    /** A lease was acquired. */
    LEASE_WON(700, Level.INFO, "lease acquired"),
    /** A lease was lost or has expired. */
    LEASE_LOST(701, Level.INFO, "lease lost"),
    /** An order of a former lease holder, such as a rollout transition, was rejected by its fencing token. */
    ORDER_FENCED(702, Level.WARNING, "order refused by its fencing token"),
    /** This process holds the duties that one entry performs at a time, such as reporting usage. */
    DUTIES_HELD(703, Level.INFO, "duties acquired"),
    /** This process no longer holds the duties, because its lease ended or another process has them. */
    DUTIES_LOST(704, Level.INFO, "duties lost"),
    /** The store did not accept or answer a claim or a renewal of the duties. */
    DUTIES_UNCERTAIN(705, Level.INFO, "duties not renewed"),
    /** The content of a usage report was stored, and does not change from now on. */
    USAGE_STORED(706, Level.INFO, "usage report stored"),
    /** A usage report was accepted by its receiver. */
    USAGE_REPORTED(707, Level.INFO, "usage report accepted"),
    /** A usage report was made without complete counts of some entries, which did not answer in time. */
    USAGE_INCOMPLETE(708, Level.WARNING, "usage report without some entries"),
    /** The counts that another entry stated cannot be used. */
    USAGE_ANSWER_INVALID(709, Level.WARNING, "counts of an entry left out"),
    /** The receiver of a duty call refused it, did not answer, or gave an invalid answer; it is repeated. */
    DUTY_CALL_FAILED(710, Level.WARNING, "duty call failed"),
    /** A duty call was not written because the lease on the duties had ended right before. */
    DUTY_CALL_HELD_BACK(711, Level.INFO, "duty call held back"),
    /** The number of upstreams of a service in an availability zone was ordered. */
    WORKERS_ORDERED(712, Level.INFO, "number of workers ordered"),
    /** The platform's log is unreachable. */
    LOG_DOWN(800, Level.WARNING, "platform log does not answer"),
    /** The platform's log is reachable again. */
    LOG_UP(801, Level.INFO, "platform log answers again"),
    /** An audit record could not be written and was dropped. */
    AUDIT_DROPPED(802, Level.ERROR, "audit record dropped"),
    /** A record could not be appended to the platform's log yet and is retried. */
    RECORD_DELAYED(803, Level.INFO, "record not appended yet"),
    /** A record was dropped because the platform's log did not accept it in time. */
    RECORD_NOT_SENT(804, Level.WARNING, "record not appended"),
    /** This entry reads a topic from another entry, or from the store, than before; the details give the reason. */
    FEED_SOURCE_CHANGED(805, Level.INFO, "topic read from another source"),
    /** The platform's store was restored from an older copy; its topics are read and merged with what is known. */
    STORE_RESTORED(806, Level.WARNING, "platform store was restored"),
    /** An answer of the platform's store states no valid era, or an earlier one than before. */
    STORE_ERA_INVALID(807, Level.WARNING, "era of the platform store is invalid"),
    /**
     * A connection was closed, or a request on it refused, for what it occupies or costs; at most one line a second.
     */
    CONNECTION_CLOSED(900, Level.WARNING, "connection closed for its use of resources");

    private final int number;
    private final Level level;
    private final String text;

    EventCode(int number, Level level, String text) {
        this.number = number;
        this.level = level;
        this.text = text;
    }

    /** The number under which operators look up the event. */
    public int number() {
        return number;
    }

    /** The severity at which the event is logged. */
    public Level level() {
        return level;
    }

    /** A short description of the event. */
    public String text() {
        return text;
    }
}
