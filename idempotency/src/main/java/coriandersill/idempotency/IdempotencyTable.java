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
 * The claims of idempotency keys, derived from the records of the log in order: the first claim of a key wins.
 *
 * <pre>{@code
 * IdempotencyTable table = IdempotencyTable.of(KeyWindow.ofOneDay(), 1_000_000, 32L << 20);
 * table.setHistoryStart(firstRecord.time());
 * ClaimEffect effect = table.apply(offset, logTime, claim);
 * }</pre>
 *
 * <p>All readers that have applied the whole window reach the same decisions; a reader that lacks part of it refuses
 * the keys that it cannot decide. Thread-safe: a lock of rank {@link LockRank#IDEMPOTENCY} guards all fields.
 */
public final class IdempotencyTable {
    /** Keys are dropped by whole segments, so a key is kept for at most 1/32 longer than the retention. */
    private static final int SEGMENTS_PER_RETENTION = 32;

    private static final Duration REFUSAL_RETRY_AFTER = Duration.ofSeconds(5);

    private final RankedLock lock = RankedLock.of(LockRank.IDEMPOTENCY);
    private final KeyWindow window;
    private final int maxKeys;
    private final long segmentMillis;
    private final TreeMap<Long, ClaimSegment> segments = new TreeMap<>();
    private final Map<WorkspaceName, Integer> workspaces = new HashMap<>();
    private final OutcomeCache outcomes;
    private long nextOffset = Long.MIN_VALUE;
    private Instant latestRecordTime = Instant.MIN;
    private Instant decidableFrom = Instant.MAX;
    private int keyCount;

    private IdempotencyTable(KeyWindow window, int maxKeys, long maxTotalBodyBytes) {
        this.window = window;
        this.maxKeys = maxKeys;
        this.segmentMillis = Math.max(1, window.retention().toMillis() / SEGMENTS_PER_RETENTION);
        this.outcomes = new OutcomeCache(maxTotalBodyBytes);
    }

    /**
     * Returns an empty table, which refuses all keys until {@link #setHistoryStart} is called.
     *
     * @param window the period within which repeated use of a key is detected
     * @param maxKeys the maximum number of keys; a full table refuses new keys. Once a claim could not be added,
     *     unclaimed keys up to the creation time of its key are refused as well, because the table does not remember
     *     which claims are missing
     * @param maxTotalBodyBytes the maximum total size, in bytes, of stored outcomes with a body, including a fixed
     *     overhead for each; beyond it, the oldest outcomes keep only their status
     */
    public static IdempotencyTable of(KeyWindow window, int maxKeys, long maxTotalBodyBytes) {
        if (maxKeys < 1 || maxTotalBodyBytes < 0) {
            throw new IllegalArgumentException("maxKeys, maxTotalBodyBytes: expected at least 1 and at least 0, found "
                    + maxKeys + " and " + maxTotalBodyBytes);
        }
        return new IdempotencyTable(window, maxKeys, maxTotalBodyBytes);
    }

    /**
     * Declares that every record that the log accepted at {@code time} or later will be passed to {@link #apply}; keys
     * that may have been claimed earlier are refused. Called at the start and again after a gap in the stream.
     */
    public void setHistoryStart(Instant time) {
        lock.run(() -> decidableFrom = time.equals(Instant.MIN) ? Instant.MIN : time.plus(window.maxClockSkew()));
    }

    /**
     * Forgets the highest applied offset after the offsets of the stream have restarted; must be followed by
     * {@link #setHistoryStart}.
     */
    public void resetOffsets() {
        lock.run(() -> nextOffset = Long.MIN_VALUE);
    }

    /**
     * Applies the record at {@code offset}, which the log accepted at {@code time}; an already applied offset is
     * ignored.
     */
    public ClaimEffect apply(long offset, Instant time, ClaimRecord record) {
        return lock.with(() -> {
            if (offset < nextOffset) {
                return new ClaimEffect.Ignored();
            }
            nextOffset = offset + 1;
            if (time.isAfter(latestRecordTime)) {
                latestRecordTime = time;
                dropExpiredSegments();
            }
            if (record instanceof ClaimRecord.Claimed claim) {
                return applyClaim(offset, time, claim);
            }
            if (record instanceof ClaimRecord.Released release) {
                return applyRelease(release);
            }
            return applyCompletion((ClaimRecord.Completed) record);
        });
    }

    /** Returns the state that a call with this key and fingerprint finds at {@code now}, by the local clock. */
    public KeyState find(ClaimKey key, Fingerprint fingerprint, Instant now) {
        return lock.with(() -> {
            ClaimSegment segment = segments.get(segmentNumber(key.key()));
            int slot = findSlot(segment, key);
            KeyState state = slot < 0
                    ? new KeyState.Unclaimed()
                    : stateOf(segment, slot, key, fingerprint, now.isAfter(latestRecordTime) ? now : latestRecordTime);
            if (!(state instanceof KeyState.Unclaimed)) {
                return state;
            }
            // A key that is too far ahead of the latest record is not refused: it may be valid when the log accepts its
            // claim.
            Optional<CallFailure> refusal = latestRecordTime.equals(Instant.MIN)
                    ? Optional.empty()
                    : window.refusal(key.key(), latestRecordTime)
                            .filter(f -> f.kind() == ErrorKind.IDEMPOTENCY_KEY_EXPIRED);
            if (refusal.isPresent()) {
                return new KeyState.Refused(refusal.get());
            }
            if (!isDecidable(key.key())) {
                return new KeyState.Refused(undecidableFailure(key.key()));
            }
            return slot >= 0 || keyCount < maxKeys
                    ? new KeyState.Unclaimed()
                    : new KeyState.Refused(tableFullFailure());
        });
    }

    /** The number of keys in the table. */
    public int size() {
        return lock.with(() -> keyCount);
    }

    /** The period within which repeated use of a key is detected. */
    public KeyWindow window() {
        return window;
    }

    private ClaimEffect applyClaim(long offset, Instant time, ClaimRecord.Claimed claim) {
        IdempotencyKey key = claim.key().key();
        Optional<CallFailure> windowRefusal = window.refusal(key, time);
        if (windowRefusal.isPresent()) {
            return new ClaimEffect.Lost(claim.claimId(), new KeyState.Refused(windowRefusal.get()));
        }
        ClaimSegment segment = segments.get(segmentNumber(key));
        int slot = findSlot(segment, claim.key());
        if (slot >= 0) {
            KeyState state = stateOf(segment, slot, claim.key(), claim.fingerprint(), time);
            if (!(state instanceof KeyState.Unclaimed)) {
                return new ClaimEffect.Lost(claim.claimId(), state);
            }
        } else if (keyCount >= maxKeys) {
            markUndecidableThrough(key);
            return new ClaimEffect.Undecided(claim, offset);
        } else {
            segment = segments.computeIfAbsent(segmentNumber(key), s -> new ClaimSegment());
            slot = segment.add(
                    workspaceIndex(claim.key().workspace()),
                    key,
                    claim.fingerprint().value());
            keyCount++;
        }
        // The deadline is rounded up to a full second.
        segment.claim(slot, offset, time.plus(claim.lifetime()).getEpochSecond() + 1);
        return isDecidable(key) ? new ClaimEffect.Won(claim, offset) : new ClaimEffect.Undecided(claim, offset);
    }

    private ClaimEffect applyRelease(ClaimRecord.Released release) {
        ClaimSegment segment = segments.get(segmentNumber(release.key().key()));
        int slot = findSlot(segment, release.key());
        if (slot < 0 || segment.status(slot) != ClaimSegment.CLAIMED || segment.token(slot) != release.token()) {
            return new ClaimEffect.Ignored();
        }
        segment.setStatus(slot, ClaimSegment.RELEASED);
        return new ClaimEffect.Settled(release.key());
    }

    private ClaimEffect applyCompletion(ClaimRecord.Completed completion) {
        ClaimKey key = completion.key();
        ClaimSegment segment = segments.get(segmentNumber(key.key()));
        int slot = findSlot(segment, key);
        if (slot < 0 || segment.status(slot) != ClaimSegment.CLAIMED) {
            return new ClaimEffect.Ignored();
        }
        // A reader that lacks records of the key may have missed the winning claim and stored a later one, whose token
        // is higher. The outcome of the missed claim is then that of the key.
        boolean completesMissedClaim = segment.token(slot) > completion.token() && !isDecidable(key.key());
        if (segment.token(slot) != completion.token() && !completesMissedClaim) {
            return new ClaimEffect.Ignored();
        }
        segment.setStatus(slot, (short) completion.outcome().status());
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
            boolean expired = now.getEpochSecond() > segment.deadlineSeconds(slot);
            return expired ? new KeyState.Unknown() : new KeyState.InProgress();
        }
        return status == ClaimSegment.RELEASED
                ? new KeyState.Unclaimed()
                : new KeyState.Done(outcomes.find(key, status));
    }

    private boolean isDecidable(IdempotencyKey key) {
        return !key.time().isBefore(decidableFrom);
    }

    private static CallFailure undecidableFailure(IdempotencyKey key) {
        return CallFailure.of(
                        ErrorKind.UNAVAILABLE,
                        "this entry does not know the claims of the time of idempotency key " + key)
                .withRetryAfter(REFUSAL_RETRY_AFTER);
    }

    private static CallFailure tableFullFailure() {
        return CallFailure.of(ErrorKind.OVERLOADED, "the table of idempotency keys is full")
                .withRetryAfter(REFUSAL_RETRY_AFTER);
    }

    private void markUndecidableThrough(IdempotencyKey key) {
        Instant after = key.time().plusMillis(1);
        if (after.isAfter(decidableFrom)) {
            decidableFrom = after;
        }
    }

    private int findSlot(ClaimSegment segment, ClaimKey key) {
        Integer workspace = workspaces.get(key.workspace());
        return segment == null || workspace == null ? -1 : segment.find(workspace, key.key());
    }

    private int workspaceIndex(WorkspaceName workspace) {
        return workspaces.computeIfAbsent(workspace, name -> workspaces.size());
    }

    private long segmentNumber(IdempotencyKey key) {
        return key.millis() / segmentMillis;
    }

    private void dropExpiredSegments() {
        long oldest = latestRecordTime.minus(window.retention()).toEpochMilli();
        while (!segments.isEmpty() && (segments.firstKey() + 1) * segmentMillis <= oldest) {
            keyCount -= segments.pollFirstEntry().getValue().size();
        }
    }
}
