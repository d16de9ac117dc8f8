package coriandersill.bench.admission;

import coriandersill.admission.LengthKey;
import coriandersill.admission.QuantileLengthEstimator;
import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.RouteName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;
import coriandersill.quota.CapSplit;
import coriandersill.quota.QuotaAmount;
import coriandersill.quota.QuotaDemand;
import coriandersill.quota.QuotaLedger;
import java.lang.ref.Reference;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** Measures the heap of a length estimator and of a quota ledger when both are full. */
public final class TableMemory {
    /** Together with {@link #VERSIONS}, fills the estimator up to its default limit. */
    private static final int WORKSPACES = 2_800;

    private static final int VERSIONS = 13;
    private static final int ENTRIES_PER_WORKSPACE = 20;

    private TableMemory() {}

    /** Measures each table once and prints the results; takes no arguments. */
    public static void main(String[] args) {
        print("length groups", WORKSPACES * VERSIONS, TableMemory::fullEstimator);
        print(
                "quota grants of all workspaces in one ledger",
                WORKSPACES * ENTRIES_PER_WORKSPACE,
                TableMemory::fullLedger);
    }

    private static void print(String name, int items, Supplier<Object> table) {
        long before = usedHeap();
        Object filledTable = table.get();
        try {
            long bytes = usedHeap() - before;
            System.out.printf("%s: %d items, %.1f MB, %d bytes per item%n", name, items, bytes / 1e6, bytes / items);
        } finally {
            Reference.reachabilityFence(filledTable);
        }
    }

    private static Object fullEstimator() {
        QuantileLengthEstimator estimator = QuantileLengthEstimator.create();
        for (int version = 0; version < VERSIONS; version++) {
            for (int i = 0; i < WORKSPACES; i++) {
                LengthKey key = new LengthKey(
                        VersionName.of("v" + version), RouteName.of("chat"), WorkspaceName.of("workspace-" + i));
                estimator.observe(key, 0, 300, true);
            }
        }
        return estimator;
    }

    private static Object fullLedger() {
        MonotonicClock clock = () -> 0;
        QuotaLedger ledger = QuotaLedger.open(clock, CapSplit.byDemand(), 1, Duration.ZERO, Duration.ofSeconds(2));
        ledger.setLeaseExpiry(Long.MAX_VALUE / 4);
        Map<WorkspaceName, QuotaAmount> pools = new HashMap<>();
        for (int i = 0; i < WORKSPACES; i++) {
            pools.put(WorkspaceName.of("workspace-" + i), new QuotaAmount(100, 10_000));
        }
        ledger.setPools(pools);
        for (WorkspaceName workspace : pools.keySet()) {
            for (int entry = 0; entry < ENTRIES_PER_WORKSPACE; entry++) {
                QuotaAmount demand = new QuotaAmount(5, 400);
                ledger.grant(new QuotaDemand(InstanceId.of("entry-" + entry), workspace, demand, 1));
            }
        }
        return ledger;
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
