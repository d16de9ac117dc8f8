package coriandersill.configuration;

import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.List;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Holds the configuration in effect in this process.
 *
 * <pre>{@code
 * ConfigurationTable table = ConfigurationTable.of(ConfigurationStateMachine.of(StandardRule.all()));
 * table.addListener(current -> routes.rebuild(current));
 * Verdict verdict = table.apply(offset, record);
 * }</pre>
 *
 * <p>Thread-safe. Updates are guarded by a lock of rank {@link LockRank#CONFIGURATION}; {@link #current()} and
 * {@link #state()} take no lock. Listeners are notified after the lock is released.
 */
public final class ConfigurationTable {
    private final ConfigurationStateMachine stateMachine;
    private final RankedLock lock = RankedLock.of(LockRank.CONFIGURATION);
    private final List<ConfigurationListener> listeners = new CopyOnWriteArrayList<>();
    private final Queue<Notification> notifications = new ConcurrentLinkedQueue<>();
    private final AtomicInteger deliveryRequests = new AtomicInteger();

    private volatile ConfigurationState state = ConfigurationState.initial();
    private volatile Configuration current = Configuration.empty();

    private ConfigurationTable(ConfigurationStateMachine stateMachine) {
        this.stateMachine = Objects.requireNonNull(stateMachine, "stateMachine");
    }

    /** Returns an empty table. */
    public static ConfigurationTable of(ConfigurationStateMachine stateMachine) {
        return new ConfigurationTable(stateMachine);
    }

    /** Adds a listener, which is notified of every later decision. */
    public void addListener(ConfigurationListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /** The documents in effect. */
    public Configuration current() {
        return current;
    }

    /** The state after the records applied so far. */
    public ConfigurationState state() {
        return state;
    }

    /** Applies one record of the stream to the state and returns the verdict on it. */
    public Verdict apply(long offset, ConfigurationRecord record) {
        ConfigurationStateMachine.Result result =
                lock.with(() -> updateState(stateMachine.apply(state, offset, record)));
        deliverNotifications();
        return result.verdict();
    }

    /** Adopts a peer's state if it is newer and returns whether it was adopted. */
    public boolean importPeer(PeerState peer) {
        ConfigurationStateMachine.Result result = lock.with(() -> updateState(stateMachine.importPeer(state, peer)));
        deliverNotifications();
        return result.verdict() instanceof Verdict.Adopted;
    }

    private ConfigurationStateMachine.Result updateState(ConfigurationStateMachine.Result result) {
        AcceptedState before = state.accepted();
        AcceptedState after = result.state().accepted();
        state = result.state();
        // States with unchanged documents share one map: Collections.unmodifiableMap does not wrap its own results.
        boolean changed = before.documents() != after.documents();
        if (changed) {
            current = after.configuration();
        } else if (before.position() != after.position()) {
            current = new Configuration(after.position(), current.documents());
        }
        if (changed || !result.decided().isEmpty()) {
            notifications.add(new Notification(changed ? current : null, result.decided()));
        }
        return result;
    }

    /**
     * Delivers the queued notifications, one thread at a time. A thread that finds another one delivering only
     * increments {@code deliveryRequests}, which makes the delivering thread poll the queue once more.
     */
    private void deliverNotifications() {
        if (notifications.isEmpty() || deliveryRequests.getAndIncrement() != 0) {
            return;
        }
        Throwable firstError = null;
        do {
            for (Notification next = notifications.poll(); next != null; next = notifications.poll()) {
                Throwable error = next.sendTo(listeners);
                firstError = firstError == null ? error : firstError;
            }
        } while (deliveryRequests.decrementAndGet() != 0);
        throwIfPresent(firstError);
    }

    private static void throwIfPresent(Throwable error) {
        if (error instanceof Error fatal) {
            throw fatal;
        }
        if (error instanceof RuntimeException failure) {
            throw failure;
        }
    }

    /** A notification to all listeners; {@code current} is null if the documents are unchanged. */
    private record Notification(Configuration current, List<HistoryEntry> decided) {
        /** Calls all listeners, whatever one of them throws; returns the first error, or null. */
        Throwable sendTo(List<ConfigurationListener> listeners) {
            Throwable firstError = null;
            for (ConfigurationListener listener : listeners) {
                try {
                    sendTo(listener);
                } catch (RuntimeException | Error error) {
                    firstError = firstError == null ? error : firstError;
                }
            }
            return firstError;
        }

        private void sendTo(ConfigurationListener listener) {
            if (current != null) {
                listener.onConfigurationChanged(current);
            }
            decided.forEach(listener::onChangeSetDecided);
        }
    }
}
