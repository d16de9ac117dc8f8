package coriandersill.bench.coordination;

import coriandersill.core.CallId;
import coriandersill.core.InstanceId;
import coriandersill.core.WorkspaceName;
import coriandersill.idempotency.ClaimKey;
import coriandersill.idempotency.ClaimRecord;
import coriandersill.idempotency.Fingerprint;
import coriandersill.idempotency.IdempotencyKey;
import coriandersill.idempotency.IdempotencyTable;
import coriandersill.idempotency.KeyWindow;
import coriandersill.idempotency.Outcome;
import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;

/**
 * Measures the heap and the processing time of 1 million idempotency keys of 2,800 workspaces; their outcomes have no
 * body.
 */
public final class KeyMemory {
    private static final int KEYS = 1_000_000;
    private static final int WORKSPACES = 2_800;
    private static final long MAX_BODY_BYTES = 32L << 20;
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private KeyMemory() {}

    /** Prints the results; takes no arguments. */
    public static void main(String[] arguments) {
        IdempotencyTable table = IdempotencyTable.of(KeyWindow.ofOneDay(), KEYS, MAX_BODY_BYTES);
        table.setHistoryStart(Instant.MIN);
        long before = usedHeap();
        long startNanos = System.nanoTime();
        fill(table);
        long elapsedNanos = System.nanoTime() - startNanos;
        long used = usedHeap() - before;
        System.out.printf(
                "keys %d  heap %.1f MB  bytes/key %.1f  ns per claim and outcome %.0f%n",
                table.size(), used / 1e6, (double) used / table.size(), (double) elapsedNanos / KEYS);
    }

    private static void fill(IdempotencyTable table) {
        SplittableRandom random = new SplittableRandom(1);
        // All keys are generated within the key window of one day, so none expires.
        Duration step = Duration.ofHours(23).dividedBy(KEYS);
        for (int i = 0; i < KEYS; i++) {
            Instant now = START.plus(step.multipliedBy(i));
            WorkspaceName workspace = WorkspaceName.of("workspace-" + random.nextInt(WORKSPACES));
            ClaimKey key = ClaimKey.of(workspace, IdempotencyKey.generate(now, random));
            ClaimRecord claim = new ClaimRecord.Claimed(
                    key,
                    new Fingerprint(i),
                    CallId.random(random),
                    InstanceId.of("entry-1"),
                    1,
                    Duration.ofSeconds(30));
            table.apply(2L * i, now, claim);
            table.apply(2L * i + 1, now, new ClaimRecord.Completed(key, 2L * i, Outcome.withoutBody(200)));
        }
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
