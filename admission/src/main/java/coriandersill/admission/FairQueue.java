package coriandersill.admission;

import coriandersill.core.CallId;
import coriandersill.core.WorkspaceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Waiting requests, scheduled between workspaces by start-time fair queueing.
 *
 * <p>A workspace is charged the predicted cost of a request on admission, and later the difference from the actual
 * cost. The workspace with the least charged service relative to its weight goes first; an idle workspace accumulates
 * no credit. Guarded by the lock of {@link PredictiveAdmission}.
 */
final class FairQueue {
    private static final long IDLE_RETENTION_NANOS = Duration.ofSeconds(10).toNanos();

    /**
     * A workspace that uses this multiple of its weighted share is over its share, see {@link #isOverShare}. Random
     * variation of the load of a workspace within its share rarely reaches it. At a factor of 1, random variation and
     * prefix affinity put half of the workspaces over their share. At factors of 3 and 4, the others were protected
     * from a flooding workspace no better than without headroom.
     */
    private static final double OVER_SHARE_FACTOR = 2;

    private final Map<WorkspaceName, Account> accounts = new HashMap<>();
    /**
     * The accounts with waiting requests. An account whose last waiting request is removed stays in the set until the
     * next call of {@link #accountsInFairOrder}.
     */
    private final Set<Account> backloggedAccounts = new LinkedHashSet<>();

    /** The account of each waiting request. */
    private final Map<CallId, Account> accountsByWaitingCall = new HashMap<>();

    private double virtualTime;
    /** The sum of the weights of all {@link #accounts}. */
    private double totalWeight;

    private long nextSequence;

    int size() {
        return accountsByWaitingCall.size();
    }

    boolean contains(CallId id) {
        return accountsByWaitingCall.containsKey(id);
    }

    /** Returns the account of the request's workspace and updates its weight from the request. */
    Account account(AdmissionRequest request, long nowNanos) {
        Account account = accounts.computeIfAbsent(request.workspace(), name -> {
            totalWeight += 1;
            return new Account(name);
        });
        totalWeight += request.weight() - account.weight;
        account.weight = request.weight();
        account.lastSeenNanos = nowNanos;
        return account;
    }

    Account.WaitingRequest add(Account account, AdmissionRequest request, long waitUntilNanos) {
        Account.WaitingRequest entry = new Account.WaitingRequest(request, nextSequence++, waitUntilNanos);
        account.waiting.add(entry);
        backloggedAccounts.add(account);
        accountsByWaitingCall.put(request.id(), account);
        return entry;
    }

    /** Removes a waiting request by its id; returns whether it was there. */
    boolean remove(CallId id) {
        Account account = accountsByWaitingCall.remove(id);
        return account != null
                && account.waiting.removeIf(entry -> entry.request().id().equals(id));
    }

    /** Returns the accounts with waiting requests in the order in which they are to be served. */
    List<Account> accountsInFairOrder() {
        backloggedAccounts.removeIf(account -> account.waiting.isEmpty());
        List<Account> waiting = new ArrayList<>(backloggedAccounts);
        waiting.sort(Comparator.comparingDouble((Account account) -> account.startTag(virtualTime))
                .thenComparing(account -> account.workspace));
        return waiting;
    }

    /** Charges an account for a request that starts now; service unused in the past gives no credit. */
    void recordAdmission(Account account, double cost) {
        virtualTime = account.startTag(virtualTime);
        account.finishTag = virtualTime;
        account.charge(cost);
        account.running++;
        account.bypassCount = 0;
    }

    /** Removes the last request of the account with the most waiting requests relative to its weight. */
    Account.WaitingRequest removeExcess() {
        Account largest = null;
        for (Account account : backloggedAccounts) {
            if (!account.waiting.isEmpty()
                    && (largest == null || weightedBacklog(account) > weightedBacklog(largest))) {
                largest = account;
            }
        }
        Account.WaitingRequest removed = largest.removeLast();
        accountsByWaitingCall.remove(removed.request().id());
        return removed;
    }

    /** Removes and returns the requests whose wait has expired. */
    List<Account.WaitingRequest> removeExpired(long nowNanos) {
        List<Account.WaitingRequest> expired = new ArrayList<>();
        for (Account account : backloggedAccounts) {
            account.waiting.removeIf(entry -> {
                boolean isExpired = nowNanos - entry.waitUntilNanos() >= 0;
                if (isExpired) {
                    expired.add(entry);
                    accountsByWaitingCall.remove(entry.request().id());
                }
                return isExpired;
            });
        }
        return expired;
    }

    /** Removes and returns all waiting requests. */
    List<Account.WaitingRequest> removeAll() {
        List<Account.WaitingRequest> removed = new ArrayList<>();
        for (Account account : backloggedAccounts) {
            removed.addAll(account.waiting);
            account.waiting.clear();
        }
        accountsByWaitingCall.clear();
        return removed;
    }

    /** Removes accounts without running or waiting requests that have been idle for the retention period. */
    void removeIdleAccounts(long nowNanos) {
        accounts.values().removeIf(account -> {
            boolean idle = account.isIdle() && nowNanos - account.lastSeenNanos > IDLE_RETENTION_NANOS;
            if (idle) {
                totalWeight -= account.weight;
            }
            return idle;
        });
    }

    /**
     * Returns whether other accounts exist and the account uses at least a threshold fraction of the calls or of the
     * memory: twice its weighted share, or the midpoint between its weighted share and 1 if that is less.
     */
    boolean isOverShare(Account account, int limit, long usableTokens) {
        double weightedShare = account.weight / totalWeight;
        double threshold = Math.min(OVER_SHARE_FACTOR * weightedShare, (1 + weightedShare) / 2);
        return accounts.size() > 1
                && (account.running >= limit * threshold
                        || (usableTokens > 0 && account.heldTokens >= usableTokens * threshold));
    }

    private static double weightedBacklog(Account account) {
        return account.waiting.size() / account.weight;
    }
}
