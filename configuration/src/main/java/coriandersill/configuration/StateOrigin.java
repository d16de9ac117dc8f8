package coriandersill.configuration;

/** Where a process obtained its accepted state from, which determines whether the state is complete. */
public enum StateOrigin {
    /** No complete source yet: records before the first one read are unknown. */
    NONE,
    /** All records from the beginning of the stream. */
    BEGINNING,
    /** A complete snapshot and all records after it. */
    SNAPSHOT,
    /** A peer whose own state was complete. */
    PEER;

    /** Returns whether the accepted state is complete, so that calls may be served from it. */
    public boolean isComplete() {
        return this != NONE;
    }
}
