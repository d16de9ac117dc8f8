package coriandersill.events;

import java.lang.System.Logger.Level;

/**
 * The catalogue of events; docs/EVENTS.md holds the same list, and a test keeps the two equal.
 *
 * <p>Numbers are never used again: 1xx lifecycle, 2xx configuration, 3xx membership and wire, 4xx calls, 5xx admission
 * and shares, 6xx rollouts and availability zones, 7xx leases and orders, 8xx the platform's services.
 */
public enum EventCode {
    /** A daemon is ready. */
    DAEMON_READY(100, Level.INFO, "daemon is ready"),
    /** A daemon takes no new work and lets running work end. */
    DAEMON_DRAINING(101, Level.INFO, "daemon drains"),
    /** A daemon has ended its last work. */
    DAEMON_STOPPED(102, Level.INFO, "daemon has stopped"),
    /** A drain ended at its deadline with work still running. */
    DRAIN_DEADLINE(103, Level.WARNING, "drain deadline passed with work still running"),
    /** The worker pool's queue is full. */
    WORKERS_SATURATED(104, Level.WARNING, "worker queue is full"),
    /** The settings were read again. */
    SETTINGS_READ(105, Level.INFO, "settings read"),
    /** Settings are wrong and the daemon does not start. */
    SETTINGS_WRONG(106, Level.ERROR, "settings are wrong"),
    /** A change set is in force in this process. */
    CONFIGURATION_APPLIED(200, Level.INFO, "configuration is in force"),
    /** A change set was refused by the fold. */
    CONFIGURATION_REFUSED(201, Level.WARNING, "change set refused"),
    /** Offsets of the configuration stream have a gap, repeat or restart. */
    CONFIGURATION_OFFSETS(202, Level.WARNING, "configuration stream offsets are not consecutive"),
    /** A newer state of the configuration came from a peer. */
    CONFIGURATION_FROM_PEER(203, Level.INFO, "configuration learnt from a peer"),
    /** The accepted documents were published again before retention ends. */
    SNAPSHOT_PUBLISHED(204, Level.INFO, "snapshot published"),
    /** An operator's document could not be read and was not followed. */
    DOCUMENT_UNREADABLE(205, Level.WARNING, "operator's document not followed"),
    /** A wire connection is open. */
    PEER_CONNECTED(300, Level.INFO, "peer connected"),
    /** A wire connection has ended. */
    PEER_LOST(301, Level.WARNING, "peer connection lost"),
    /** A frame was dropped: wrong generation, attempt or token index. */
    FRAME_DROPPED(302, Level.WARNING, "frame dropped"),
    /** A peer sent what this version does not know. */
    FRAME_UNKNOWN(303, Level.WARNING, "unknown frame ignored"),
    /** An instance came into service. */
    INSTANCE_JOINED(310, Level.INFO, "instance in service"),
    /** An instance is leaving or gone. */
    INSTANCE_LEFT(311, Level.INFO, "instance out of service"),
    /** The instance list is empty or stale and was not followed. */
    INSTANCE_LIST_DOUBTED(312, Level.WARNING, "instance list not followed"),
    /** An engine did not answer when it was asked for its report. */
    ENGINE_SILENT(313, Level.WARNING, "engine does not report"),
    /** A call failed. */
    CALL_FAILED(400, Level.INFO, "call failed"),
    /** A call went to another upstream after a refusal or a failure before the first token. */
    CALL_RETRIED(401, Level.INFO, "call retried"),
    /** The outcome of a call that may not be repeated is unknown. */
    OUTCOME_UNKNOWN(402, Level.WARNING, "outcome unknown"),
    /** A call was taken: its route, workspace and time are decided. */
    CALL_TAKEN(403, Level.INFO, "call taken"),
    /** A request is written to an upstream. */
    CALL_SENT(404, Level.INFO, "call sent"),
    /** The chosen upstream left before the request was written. */
    CALL_HELD_BACK(405, Level.INFO, "call held back from an upstream that left"),
    /** An attempt failed; the outcome says whether it is repeated. */
    CALL_ATTEMPT_FAILED(406, Level.INFO, "attempt failed"),
    /** The first event of a stream went to the caller. */
    CALL_FIRST_EVENT(407, Level.INFO, "first event"),
    /** The caller has the whole answer. */
    CALL_ANSWERED(408, Level.INFO, "call answered"),
    /** A call was refused before it had a plan. */
    CALL_REFUSED(409, Level.INFO, "call refused"),
    /** The caller went away before its answer was whole. */
    CALLER_LEFT(410, Level.INFO, "caller left"),
    /** Further decisions of a call were not kept. */
    CALL_LINES_DROPPED(411, Level.WARNING, "decisions of a call dropped"),
    /** A running generation is to move, since its engine leaves or its stream broke. */
    GENERATION_MOVING(420, Level.INFO, "generation is moving"),
    /** A generation goes on at another engine. */
    GENERATION_MOVED(421, Level.INFO, "generation moved"),
    /** A step of a move failed. */
    GENERATION_MOVE_HINDERED(422, Level.INFO, "move hindered"),
    /** A copying of a running generation to another engine ended. */
    GENERATION_COPIED(423, Level.INFO, "generation copied"),
    /** The order of moves off an engine that leaves is decided. */
    MOVES_PLANNED(424, Level.INFO, "moves planned"),
    /** The entry's part of what all entries may do together has changed. */
    SHARE_CHANGED(425, Level.INFO, "share changed"),
    /** The store does not tell the entry's part; the last one holds on. */
    SHARE_KEPT(426, Level.INFO, "share kept"),
    /** An upstream is cold again. */
    UPSTREAM_COLD(500, Level.WARNING, "upstream is cold"),
    /** An upstream has proven its full limit. */
    UPSTREAM_WARM(501, Level.INFO, "upstream is warm"),
    /** An upstream is ejected for a route. */
    ROUTE_EJECTED(502, Level.WARNING, "upstream ejected for a route"),
    /** An upstream is back for a route. */
    ROUTE_RESTORED(503, Level.INFO, "upstream back for a route"),
    /** A rollout changed its state. */
    ROLLOUT_CHANGED(600, Level.INFO, "rollout state changed"),
    /** A version shows bad and takes no new work here. */
    VERSION_STOPPED(601, Level.WARNING, "version stopped on local evidence"),
    /** An availability zone is out of service here. */
    ZONE_OUT(610, Level.INFO, "availability zone out of service"),
    /** An availability zone is back in service here. */
    ZONE_IN(611, Level.INFO, "availability zone in service"),
    /** A lease was won. */
    LEASE_WON(700, Level.INFO, "lease won"),
    /** A lease was lost or has lapsed. */
    LEASE_LOST(701, Level.INFO, "lease lost"),
    /** An order with an old fencing token was refused. */
    ORDER_FENCED(702, Level.WARNING, "order refused by its fencing token"),
    /** The platform's log does not answer. */
    LOG_DOWN(800, Level.WARNING, "platform log does not answer"),
    /** The platform's log answers again. */
    LOG_UP(801, Level.INFO, "platform log answers again"),
    /** An audit record could not be written and was dropped. */
    AUDIT_DROPPED(802, Level.ERROR, "audit record dropped");

    private final int number;
    private final Level level;
    private final String text;

    EventCode(int number, Level level, String text) {
        this.number = number;
        this.level = level;
        this.text = text;
    }

    /** The number by which operators look the event up. */
    public int number() {
        return number;
    }

    /** The severity. */
    public Level level() {
        return level;
    }

    /** What happened, in one phrase. */
    public String text() {
        return text;
    }
}
