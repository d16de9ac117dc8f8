package coriandersill.configuration;

/** What shows that a process holds the whole accepted state and not a part of it. */
public enum StateOrigin {
    /** Nothing: records before the first one seen are unknown. */
    NONE,
    /** Every record from the beginning of the stream was read. */
    BEGINNING,
    /** A complete snapshot and every record after it were read. */
    SNAPSHOT,
    /** A peer that had proof gave its state. */
    PEER;

    /** Whether the state may be served from. */
    public boolean isComplete() {
        return this != NONE;
    }
}
