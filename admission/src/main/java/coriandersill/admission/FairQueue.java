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
 * Requests that wait, in start-time fair order between workspaces.
 *
 * <p>A workspace is charged the predicted cost of each request when it is admitted, and the difference to the actual
 * cost as it shows. The one with the least charged service for its weight goes first; an idle one keeps no credit.
 * Guarded by the lock of {@link PredictiveAdmission}.
 */
final class FairQueue {
    private static final long ACTIVE_NANOS = Duration.ofSeconds(10).toNanos();

    /** A multiple of the weighted share that chance alone rarely reaches. */
    private static final double OVER_SHARE = 2;

    private final Map<WorkspaceName, Account> accounts = new HashMap<>();
    /** Accounts with waiting requests, and some that had them until lately. */
    private final Set<Account> backlog = new LinkedHashSet<>();

    private final Map<CallId, Account> waitingIn = new HashMap<>();
    private double virtualTime;
    private double activeWeight;
    private long sequence;

    int size() {
        return waitingIn.size();
    }

    boolean contains(CallId id) {
        return waitingIn.containsKey(id);
    }

    /** Returns the account of the request's workspace, with the weight that the request states. */
    Account account(AdmissionRequest request, long nowNanos) {
        Account account = accounts.computeIfAbsent(request.workspace(), name -> {
            activeWeight += 1;
            return new Account(name);
        });
        activeWeight += request.weight() - account.weight;
        account.weight = request.weight();
        account.lastSeenNanos = nowNanos;
        return account;
    }

    Account.Waiting add(Account account, AdmissionRequest request, long waitUntilNanos) {
        Account.Waiting entry = new Account.Waiting(request, sequence++, waitUntilNanos);
        account.waiting.add(entry);
        backlog.add(account);
        waitingIn.put(request.id(), account);
        return entry;
    }

    /** Removes a waiting request by its id; returns whether it was there. */
    boolean remove(CallId id) {
        Account account = waitingIn.remove(id);
        return account != null
                && account.waiting.removeIf(entry -> entry.request().id().equals(id));
    }

    /** Returns the accounts that wait, the first to be served first. */
    List<Account> inOrder() {
        backlog.removeIf(account -> account.waiting.isEmpty());
        List<Account> waiting = new ArrayList<>(backlog);
        waiting.sort(Comparator.comparingDouble((Account account) -> account.startTag(virtualTime))
                .thenComparing(account -> account.workspace));
        return waiting;
    }

    /** Charges an account for a request that starts now, and returns nothing to it that it did not use before. */
    void started(Account account, double cost) {
        virtualTime = account.startTag(virtualTime);
        account.finishTag = virtualTime;
        account.charge(cost);
        account.running++;
        account.bypassed = 0;
    }

    /** Removes the last request of the account that waits with the most requests for its weight. */
    Account.Waiting removeExcess() {
        Account most = null;
        for (Account account : backlog) {
            if (!account.waiting.isEmpty() && (most == null || excess(account) > excess(most))) {
                most = account;
            }
        }
        Account.Waiting removed = most.removeLast();
        waitingIn.remove(removed.request().id());
        return removed;
    }

    /** Removes and returns the requests whose wait is over. */
    List<Account.Waiting> removeExpired(long nowNanos) {
        List<Account.Waiting> expired = new ArrayList<>();
        for (Account account : backlog) {
            account.waiting.removeIf(entry -> {
                boolean over = nowNanos - entry.waitUntilNanos() >= 0;
                if (over) {
                    expired.add(entry);
                    waitingIn.remove(entry.request().id());
                }
                return over;
            });
        }
        return expired;
    }

    /** Removes and returns all waiting requests. */
    List<Account.Waiting> removeAll() {
        List<Account.Waiting> removed = new ArrayList<>();
        for (Account account : backlog) {
            removed.addAll(account.waiting);
            account.waiting.clear();
        }
        waitingIn.clear();
        return removed;
    }

    /** Forgets accounts that neither run nor wait and were not seen for a while. */
    void forgetIdle(long nowNanos) {
        accounts.values().removeIf(account -> {
            boolean idle = account.idle() && nowNanos - account.lastSeenNanos > ACTIVE_NANOS;
            if (idle) {
                activeWeight -= account.weight;
            }
            return idle;
        });
    }

    /**
     * Whether the account has twice its weighted share of the calls or of the memory, or half of what is beyond its
     * share, while others are active.
     */
    boolean overShare(Account account, int limit, long usableTokens) {
        double even = account.weight / activeWeight;
        double share = Math.min(OVER_SHARE * even, (1 + even) / 2);
        return accounts.size() > 1
                && (account.running >= limit * share
                        || (usableTokens > 0 && account.heldTokens >= usableTokens * share));
    }

    private static double excess(Account account) {
        return account.waiting.size() / account.weight;
    }
}
