package coriandersill.core.lock;

/**
 * The order in which locks over shared tables are taken: a thread that holds a lock takes only locks of a later rank.
 */
public enum LockRank {
    /** Candidates of calls, while they are built from members and configuration. */
    CANDIDATES,
    /** Accepted configuration documents. */
    CONFIGURATION,
    /** Known instances and connections. */
    MEMBERSHIP,
    /** Leases and fencing tokens. */
    LEASES,
    /** Idempotency keys and outcomes. */
    IDEMPOTENCY,
    /** Rollout states and evidence. */
    ROLLOUT,
    /** Use of shares and caps by workspace. */
    QUOTA,
    /** In-flight counts, ejections and retry budgets. */
    ROUTING,
    /** Running and waiting requests at one upstream. */
    ADMISSION,
    /** Open streams. */
    STREAMS,
    /** Connections to peers and their write queues. */
    CONNECTIONS,
    /** Audit records that wait to be written. */
    AUDIT
}
