package coriandersill.idempotency;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.WorkspaceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The claims of idempotency keys, folded from the log's order: the first claim of a key in the stream wins.
 *
 * <pre>{@code
 * IdempotencyTable table = IdempotencyTable.of(KeyWindow.day(), 1_000_000, 32L << 20);
 * table.provenFrom(firstRecord.time());
 * ClaimEffect effect = table.apply(offset, logTime, claim);
 * }</pre>
 *
 * <p>Every reader of the whole window reaches the same verdict; a reader that lacks a part of it refuses the keys that
 * it cannot decide. Safe for use by many threads: one lock of rank {@link LockRank#IDEMPOTENCY} guards all fields.
 */
public final class IdempotencyTable {
    private static final int SLICES = 32;
    private static final Duration FULL_RETRY = Duration.ofSeconds(5);

    private final RankedLock lock = RankedLock.of(LockRank.IDEMPOTENCY);
    private final KeyWindow window;
    private final int maxKeys;
    private final long sliceMillis;
    private final TreeMap<Long, ClaimSegment> segments = new TreeMap<>();
    private final Map<WorkspaceName, Integer> workspaces = new HashMap<>();
    private final OutcomeCache outcomes;
    private long nextOffset = Long.MIN_VALUE;
    private Instant newest = Instant.MIN;
    private Instant decidableFrom = Instant.MAX;
    private int keys;

    private IdempotencyTable(KeyWindow window, int maxKeys, long maxBodyBytes) {
        this.window = window;
        this.maxKeys = maxKeys;
        this.sliceMillis = Math.max(1, window.retention().toMillis() / SLICES);
        this.outcomes = new OutcomeCache(maxBodyBytes);
    }

    /**
     * Returns an empty table, which decides nothing before {@link #setHistoryStart}.
     *
     * @param window the window of keys
     * @param maxKeys how many keys are remembered; beyond it, keys up to those forgotten are refused
     * @param maxBodyBytes how many bytes of bodies are kept; beyond it, the oldest outcomes keep only their status
     */
    public static IdempotencyTable of(KeyWindow window, int maxKeys, long maxBodyBytes) {
        if (maxKeys < 1 || maxBodyBytes < 0) {
            throw new IllegalArgumentException(
                    "maxKeys, maxBodyBytes: expected 1 or more and 0 or more, found " + maxKeys + ", " + maxBodyBytes);
        }
        return new IdempotencyTable(window, maxKeys, maxBodyBytes);
    }

    /**
     * States that every record which the log took at {@code time} or later will pass through {@link #apply}; keys that
     * may have been claimed before are refused. Called at the start and again after a gap in the stream.
     */
    public void setHistoryStart(Instant time) {
        lock.run(() -> decidableFrom = time.equals(Instant.MIN) ? Instant.MIN : time.plus(window.maxClockSkew()));
    }

    /**
     * Notes that the stream's offsets have begun again, so that lower ones are taken; to be followed by
     * {@link #setHistoryStart}.
     */
    public void offsetsRestarted() {
        lock.run(() -> nextOffset = Long.MIN_VALUE);
    }

    /** Folds the record at {@code offset}, which the log took at {@code time}; an offset seen before is ignored. */
    public ClaimEffect apply(long offset, Instant time, ClaimRecord record) {
        return lock.with(() -> {
            if (offset < nextOffset) {
                return new ClaimEffect.Ignored();
            }
            nextOffset = offset + 1;
            if (time.isAfter(newest)) {
                newest = time;
                dropSlicesOutsideWindow();
            }
            if (record instanceof ClaimRecord.Claimed claim) {
                return claimed(offset, time, claim);
            }
            if (record instanceof ClaimRecord.Released release) {
                return released(release);
            }
            return completed((ClaimRecord.Completed) record);
        });
    }

    /** Returns what a call with this key and fingerprint finds at {@code now}, by the clock of this process. */
    public KeyState find(ClaimKey key, Fingerprint fingerprint, Instant now) {
        return lock.with(() -> {
            ClaimSegment segment = segments.get(slice(key.key()));
            int slot = slotOf(segment, key);
            KeyState remembered = slot < 0
                    ? new KeyState.Unclaimed()
                    : stateOf(segment, slot, key, fingerprint, now.isAfter(newest) ? now : newest);
            if (!(remembered instanceof KeyState.Unclaimed)) {
                return remembered;
            }
            Optional<CallFailure> expired = newest.equals(Instant.MIN)
                    ? Optional.empty()
                    : window.refusal(key.key(), newest).filter(f -> f.kind() == ErrorKind.IDEMPOTENCY_KEY_EXPIRED);
            if (expired.isPresent()) {
                return new KeyState.Refused(expired.get());
            }
            if (!decidable(key.key())) {
                return new KeyState.Refused(undecidable(key.key()));
            }
            return slot >= 0 || keys < maxKeys ? new KeyState.Unclaimed() : new KeyState.Refused(full());
        });
    }

    /** How many keys are remembered. */
    public int size() {
        return lock.with(() -> keys);
    }

    /** The window of keys. */
    public KeyWindow window() {
        return window;
    }

    private ClaimEffect claimed(long offset, Instant time, ClaimRecord.Claimed claim) {
        IdempotencyKey key = claim.key().key();
        Optional<CallFailure> outside = window.refusal(key, time);
        if (outside.isPresent()) {
            return new ClaimEffect.Lost(claim.call(), new KeyState.Refused(outside.get()));
        }
        ClaimSegment segment = segments.get(slice(key));
        int slot = slotOf(segment, claim.key());
        if (slot >= 0) {
            KeyState state = stateOf(segment, slot, claim.key(), claim.fingerprint(), time);
            if (!(state instanceof KeyState.Unclaimed)) {
                return new ClaimEffect.Lost(claim.call(), state);
            }
        } else if (keys >= maxKeys) {
            forgetUpTo(key);
            return new ClaimEffect.Undecided(claim, offset);
        } else {
            segment = segments.computeIfAbsent(slice(key), s -> new ClaimSegment());
            slot = segment.add(
                    indexOf(claim.key().workspace()), key, claim.fingerprint().value());
            keys++;
        }
        segment.claim(slot, offset, time.plus(claim.lifetime()).getEpochSecond() + 1);
        return decidable(key) ? new ClaimEffect.Won(claim, offset) : new ClaimEffect.Undecided(claim, offset);
    }

    private ClaimEffect released(ClaimRecord.Released release) {
        ClaimSegment segment = segments.get(slice(release.key().key()));
        int slot = slotOf(segment, release.key());
        if (slot < 0 || segment.status(slot) != ClaimSegment.CLAIMED || segment.token(slot) != release.token()) {
            return new ClaimEffect.Ignored();
        }
        segment.settle(slot, ClaimSegment.RELEASED);
        return new ClaimEffect.Settled(release.key());
    }

    private ClaimEffect completed(ClaimRecord.Completed completion) {
        ClaimKey key = completion.key();
        ClaimSegment segment = segments.get(slice(key.key()));
        int slot = slotOf(segment, key);
        if (slot < 0 || segment.status(slot) != ClaimSegment.CLAIMED) {
            return new ClaimEffect.Ignored();
        }
        boolean earlierThanProven = segment.token(slot) > completion.token() && !decidable(key.key());
        if (segment.token(slot) != completion.token() && !earlierThanProven) {
            return new ClaimEffect.Ignored();
        }
        segment.settle(slot, (short) completion.outcome().status());
        outcomes.put(key, completion.outcome());
        return new ClaimEffect.Settled(key);
    }

    private KeyState stateOf(ClaimSegment segment, int slot, ClaimKey key, Fingerprint fingerprint, Instant now) {
        if (segment.fingerprint(slot) != fingerprint.value()) {
            return new KeyState.Refused(CallFailure.of(
                    ErrorKind.IDEMPOTENCY_KEY_REUSED,
                    "idempotency key " + key.key() + " was used before with another request"));
        }
        short status = segment.status(slot);
        if (status == ClaimSegment.CLAIMED) {
            boolean past = now.getEpochSecond() > segment.deadlineSeconds(slot);
            return past ? new KeyState.Unknown() : new KeyState.InProgress();
        }
        return status == ClaimSegment.RELEASED
                ? new KeyState.Unclaimed()
                : new KeyState.Done(outcomes.find(key, status));
    }

    private boolean decidable(IdempotencyKey key) {
        return !key.time().isBefore(decidableFrom);
    }

    private static CallFailure undecidable(IdempotencyKey key) {
        return CallFailure.of(
                        ErrorKind.UNAVAILABLE,
                        "this entry does not know the claims of the time of idempotency key " + key)
                .withRetryAfter(FULL_RETRY);
    }

    private static CallFailure full() {
        return CallFailure.of(ErrorKind.OVERLOADED, "the table of idempotency keys is full")
                .withRetryAfter(FULL_RETRY);
    }

    private void forgetUpTo(IdempotencyKey key) {
        Instant after = key.time().plusMillis(1);
        if (after.isAfter(decidableFrom)) {
            decidableFrom = after;
        }
    }

    private int slotOf(ClaimSegment segment, ClaimKey key) {
        Integer workspace = workspaces.get(key.workspace());
        return segment == null || workspace == null ? -1 : segment.find(workspace, key.key());
    }

    private int indexOf(WorkspaceName workspace) {
        return workspaces.computeIfAbsent(workspace, name -> workspaces.size());
    }

    private long slice(IdempotencyKey key) {
        return key.millis() / sliceMillis;
    }

    private void dropSlicesOutsideWindow() {
        long oldest = newest.minus(window.retention()).toEpochMilli();
        while (!segments.isEmpty() && (segments.firstKey() + 1) * sliceMillis <= oldest) {
            keys -= segments.pollFirstEntry().getValue().size();
        }
    }
}
