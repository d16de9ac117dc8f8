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
    /** A call failed. */
    CALL_FAILED(400, Level.INFO, "call failed"),
    /** A call went to another upstream after a refusal or a failure before the first token. */
    CALL_RETRIED(401, Level.INFO, "call retried"),
    /** The outcome of a call that may not be repeated is unknown. */
    OUTCOME_UNKNOWN(402, Level.WARNING, "outcome unknown"),
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
