package coriandersill.core.lock;

/**
 * The acquisition order of the locks that guard shared tables: a thread that holds a lock acquires only locks of a
 * later rank.
 */
public enum LockRank {
    /** Candidate upstreams of calls, while they are computed from membership and configuration. */
    CANDIDATES,
    /** Accepted configuration documents. */
    CONFIGURATION,
    /** Known instances and connections. */
    MEMBERSHIP,
    /** Leases and fencing tokens. */
    LEASES,
    /** Idempotency keys and outcomes. */
    IDEMPOTENCY,
    /** Rollout states and the evidence on which they are decided. */
    ROLLOUT,
    /** Usage of capacity shares and caps per workspace, and the current admission controller of an upstream. */
    QUOTA,
    /** Prompt parts that are suspected of crashing engines. */
    QUARANTINE,
    /** In-flight counts, ejections and retry budgets. */
    ROUTING,
    /** Running and waiting requests at one upstream. */
    ADMISSION,
    /** Open calls and running generations. */
    STREAMS,
    /** Connections to peers and their write queues. */
    CONNECTIONS,
    /** Records that are queued to be appended to the log, such as audit records and claims. */
    AUDIT
}
