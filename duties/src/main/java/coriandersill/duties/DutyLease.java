package coriandersill.duties;

import coriandersill.core.MonotonicClock;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * One entry's view of the lease on the duties, which one process holds at a time.
 *
 * <p>Claims and renewals are records of one topic of the store. Each is appended on the condition that the topic ends
 * where its writer knows it to end, so one of several competing claims succeeds, and a holder that others have replaced
 * cannot write. A holder counts its lease from before it sent the record, by its monotonic clock. Others claim only at
 * an end that they have known for longer than a lease, and that is still the end when the claim arrives: the holder's
 * last renewal is then at least as old, so its lease has ended.
 *
 * <p>A claim that succeeds in another era than that in which its writer knew the end does not count, since the same
 * offset then belongs to another record. Not thread-safe.
 */
public final class DutyLease {
    private static final LeaseStep IDLE = new LeaseStep.Idle();

    /** The delay before a read or a renewal after one that was not answered or refused. */
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(200);

    /** The maximum delay before a claim or a read after others that failed. */
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(8);

    /** Claims are spread over this part of a lease time, so that entries do not all send one at once. */
    private static final double CLAIM_SPREAD_FRACTION = 0.15;

    /** The number of own records whose sending times are kept; an append that is still under way may yet arrive. */
    private static final int KEPT_ATTEMPTS = 32;

    private final ProcessIdentity self;
    private final LeaseTiming timing;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Map<Long, Attempt> attempts = new LinkedHashMap<>();
    private long sequence;

    /** The append without an answer so far; null if there is none. */
    private Attempt pending;

    private boolean readPending;

    /** Whether the outcome of an earlier append is only known after a read. */
    private boolean readDue = true;

    private long notBeforeNanos;
    private int failures;

    /** The end of the topic as last known; null until it is known. */
    private LogEnd knownEnd;

    private long knownSinceNanos;
    private long claimDelayNanos;

    /** Null if this process does not hold the lease. */
    private Hold hold;

    /** Until when this process, or one of the same name before it, may have acted. */
    private long lastActNanos;

    private boolean renewalRequested;
    private boolean released;
    private long highestToken;

    /** An append of this process; the token is 0 for a claim. */
    private record Attempt(long sequence, LogEnd at, long token, long sentAtNanos) {}

    private record Hold(long token, long sentAtNanos, boolean suspended) {}

    private DutyLease(ProcessIdentity self, LeaseTiming timing, MonotonicClock clock, RandomGenerator random) {
        this.self = self;
        this.timing = timing;
        this.clock = clock;
        this.random = random;
        this.lastActNanos = clock.nanos();
        this.notBeforeNanos = clock.nanos() + spreadNanos();
    }

    /** Returns the view of a process that has just started and knows nothing. */
    public static DutyLease create(
            ProcessIdentity self, LeaseTiming timing, MonotonicClock clock, RandomGenerator random) {
        return new DutyLease(self, timing, clock, random);
    }

    /** Returns the time between the renewals of a holder. */
    public Duration renewalInterval() {
        return timing.renewalInterval();
    }

    /** Returns whether this process may act at this moment; must be asked immediately before each call. */
    public boolean mayAct() {
        return hold != null && !released && !hold.suspended() && timeLeftNanos() > 0;
    }

    /** Returns for how long this process may still act; zero if it may not. */
    public Duration timeLeft() {
        return mayAct() ? Duration.ofNanos(timeLeftNanos()) : Duration.ZERO;
    }

    private long timeLeftNanos() {
        return hold.sentAtNanos() + timing.holdTime().toNanos() - clock.nanos();
    }

    /** Returns the fencing token of this process; empty if it may not act. */
    public OptionalLong token() {
        return mayAct() ? OptionalLong.of(hold.token()) : OptionalLong.empty();
    }

    /** Returns the end of the topic as last known. */
    public Optional<LogEnd> knownEnd() {
        return Optional.ofNullable(knownEnd);
    }

    /**
     * Gives the lease up for good; this process neither acts nor claims any more.
     *
     * @return whether it held the lease until now with a known end of the topic, so that others may claim at once
     */
    public boolean release() {
        boolean held = mayAct() && pending == null && !readDue;
        hold = null;
        released = true;
        return held;
    }

    /** Makes the holder renew its lease at once, to write something with it. */
    public void requestRenewal() {
        renewalRequested = true;
    }

    /** Returns what is to be done now; the step counts as begun. */
    public LeaseStep nextStep() {
        long now = clock.nanos();
        if (hold != null && timeLeftNanos() <= 0) {
            hold = null;
        }
        if (released || pending != null || readPending || now - notBeforeNanos < 0) {
            return IDLE;
        }
        if (readDue || knownEnd == null) {
            readPending = true;
            return new LeaseStep.Read();
        }
        if (hold != null) {
            boolean due = now - hold.sentAtNanos() >= timing.renewalInterval().toNanos();
            return due || renewalRequested ? append(hold.token()) : IDLE;
        }
        boolean free = now - knownSinceNanos >= timing.waitTime().toNanos() + claimDelayNanos;
        return free ? append(0) : IDLE;
    }

    private LeaseStep append(long token) {
        renewalRequested = false;
        sequence++;
        pending = new Attempt(sequence, knownEnd, token, clock.nanos());
        attempts.put(sequence, pending);
        if (attempts.size() > KEPT_ATTEMPTS) {
            attempts.remove(attempts.keySet().iterator().next());
        }
        return new LeaseStep.Append(knownEnd, sequence, token);
    }

    /**
     * Records that the pending append was accepted.
     *
     * @param era the era of the store's answer
     * @param offset the offset of the lease record
     * @param end the end of the topic after the append
     */
    public void appended(long era, long offset, long end) {
        Attempt accepted = pending;
        pending = null;
        failures = 0;
        LogEnd newEnd = new LogEnd(era, end);
        if (era != accepted.at().era() || offset != accepted.at().offset()) {
            hold = null;
            learn(newEnd);
            return;
        }
        boolean claim = accepted.token() == 0;
        long token = claim ? FencingTokens.of(era, offset) : accepted.token();
        if (token < highestToken || (claim && token == highestToken)) {
            hold = null;
            learn(newEnd);
            return;
        }
        hold(token, newEnd, accepted.sentAtNanos());
    }

    private void hold(long token, LogEnd end, long sentAtNanos) {
        highestToken = token;
        hold = new Hold(token, sentAtNanos, false);
        lastActNanos = sentAtNanos + timing.holdTime().toNanos();
        knownEnd = end;
        // Nobody else has written since, so this process may claim again without further delay.
        knownSinceNanos = sentAtNanos;
        claimDelayNanos = 0;
    }

    /** Records that the topic did not end where the pending append required it. */
    public void conflicted() {
        pending = null;
        readDue = true;
        if (hold == null) {
            delayAfterFailure();
        } else {
            hold = new Hold(hold.token(), hold.sentAtNanos(), true);
        }
    }

    /** Records that it is not known whether the pending append was accepted, or will be. */
    public void unanswered() {
        pending = null;
        readDue = true;
        delayAfterFailure();
    }

    /** Records that the pending read failed. */
    public void readFailed() {
        readPending = false;
        delayAfterFailure();
    }

    private void delayAfterFailure() {
        long delay = MIN_RETRY_DELAY.toNanos();
        if (hold == null) {
            delay <<= Math.min(failures, 10);
            delay = Math.min(delay, MAX_RETRY_DELAY.toNanos());
            delay = delay / 2 + random.nextLong(delay);
        }
        failures++;
        notBeforeNanos = clock.nanos() + delay;
    }

    /**
     * Records the result of the pending read.
     *
     * @param end the end of the topic
     * @param latest the latest lease record, if there is one
     */
    public void read(LogEnd end, Optional<LeaseRecord> latest) {
        readPending = false;
        if (knownEnd != null && end.era() < knownEnd.era()) {
            // An answer from before a restoration that this process already knows of.
            delayAfterFailure();
            return;
        }
        readDue = false;
        Attempt own = latest.filter(record -> record.holder().equals(self))
                .map(record -> attempts.get(record.sequence()))
                .filter(attempt -> attempt.at().era() == end.era())
                .orElse(null);
        long token = latest.map(LeaseRecord::token).orElse(0L);
        if (own == null || token < highestToken) {
            noteToken(token);
            hold = null;
            learn(end);
            return;
        }
        failures = 0;
        boolean isHeld = hold != null && hold.token() == token;
        hold(token, end, isHeld ? Math.max(hold.sentAtNanos(), own.sentAtNanos()) : own.sentAtNanos());
    }

    /**
     * Records what another process says that holds the lease.
     *
     * @param end the end of the topic after its last record
     * @param token its fencing token
     */
    public void heard(LogEnd end, long token) {
        if (hold != null && token <= hold.token()) {
            return;
        }
        noteToken(token);
        if (knownEnd == null || end.compareTo(knownEnd) > 0) {
            hold = null;
            failures = 0;
            readDue = false;
            learn(end);
        }
    }

    /**
     * Records that another process has given the lease up, after which it does not act. This process then claims at
     * once, but not within a lease time after it, or an earlier process of its name, may have acted itself.
     *
     * @param end the end of the topic after its last record
     * @param token its fencing token
     */
    public void heardRelease(LogEnd end, long token) {
        heard(end, token);
        if (hold == null && end.equals(knownEnd) && token == highestToken) {
            long sinceLastActNanos = clock.nanos() - lastActNanos;
            long quietNanos = Math.max(0, timing.lease().toNanos() - sinceLastActNanos);
            knownSinceNanos = clock.nanos() + quietNanos - timing.waitTime().toNanos();
        }
    }

    /** Returns the highest fencing token known; 0 if none is. */
    public long highestToken() {
        return highestToken;
    }

    /** Records a fencing token that another process knows; a holder with a lower one stops. */
    public void noteToken(long token) {
        highestToken = Math.max(highestToken, token);
        if (hold != null && token > hold.token()) {
            hold = null;
        }
    }

    private void learn(LogEnd end) {
        if (!end.equals(knownEnd)) {
            knownEnd = end;
            knownSinceNanos = clock.nanos();
            claimDelayNanos = spreadNanos();
        }
    }

    private long spreadNanos() {
        return (long) (timing.lease().toNanos() * CLAIM_SPREAD_FRACTION * random.nextDouble());
    }
}
