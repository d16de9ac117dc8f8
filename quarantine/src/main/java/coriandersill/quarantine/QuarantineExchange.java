package coriandersill.quarantine;

/**
 * Sends what one entry learned to all others, which pass it to their {@link PromptQuarantine}. Delivery may be late,
 * repeated or out of order; implementations retry until it succeeds or the message is outdated.
 */
public interface QuarantineExchange {

    /** Sends the report of a crash. */
    void publish(CrashReport report);

    /** Sends a verdict, which also entries that start later must receive. */
    void publish(QuarantineVerdict verdict);

    /** Withdraws all suspicion of a part, because a generation with it succeeded. */
    void publishAcquittal(PromptPart part);

    /** Returns an exchange for a single entry, which sends nothing. */
    static QuarantineExchange none() {
        return new QuarantineExchange() {
            @Override
            public void publish(CrashReport report) {}

            @Override
            public void publish(QuarantineVerdict verdict) {}

            @Override
            public void publishAcquittal(PromptPart part) {}
        };
    }
}
