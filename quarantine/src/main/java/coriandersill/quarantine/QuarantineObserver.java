package coriandersill.quarantine;

/** Is notified of changes of a quarantine, for logs. Called without locks; must not block. */
public interface QuarantineObserver {

    /** Called when generations are refused by a verdict from now on, or when its scope or count has changed. */
    void quarantined(QuarantineVerdict verdict);

    /** Called when a part that was quarantined is no longer. */
    void released(PromptPart part, Reason reason);

    /** Returns an observer that does nothing. */
    static QuarantineObserver none() {
        return new QuarantineObserver() {
            @Override
            public void quarantined(QuarantineVerdict verdict) {}

            @Override
            public void released(PromptPart part, Reason reason) {}
        };
    }

    /** Why a part was released. */
    enum Reason {
        /** A generation with the part succeeded. */
        ACQUITTED,
        /** There was no crash for so long that the evidence is outdated. */
        EXPIRED,
        /** The table was full. */
        EVICTED
    }
}
