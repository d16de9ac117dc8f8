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
 * The configuration that is in force in this process.
 *
 * <pre>{@code
 * ConfigurationTable table = ConfigurationTable.of(ConfigurationFold.of(StandardRule.all()));
 * table.addListener(current -> routes.rebuild(current));
 * Verdict verdict = table.fold(offset, record);
 * }</pre>
 *
 * <p>It may be used from any thread. The state is guarded by a lock of rank {@link LockRank#CONFIGURATION}; reading
 * {@link #current()} takes no lock. Listeners are told after the release of the lock.
 */
public final class ConfigurationTable {
    private final ConfigurationFold fold;
    private final RankedLock lock = RankedLock.of(LockRank.CONFIGURATION);
    private final List<ConfigurationListener> listeners = new CopyOnWriteArrayList<>();
    private final Queue<Notification> notifications = new ConcurrentLinkedQueue<>();
    private final AtomicInteger undelivered = new AtomicInteger();

    private volatile ConfigurationState state = ConfigurationState.initial();
    private volatile Configuration current = Configuration.empty();

    private ConfigurationTable(ConfigurationFold fold) {
        this.fold = Objects.requireNonNull(fold, "fold");
    }

    /** Returns an empty table. */
    public static ConfigurationTable of(ConfigurationFold fold) {
        return new ConfigurationTable(fold);
    }

    /** Adds a listener, which hears of what is decided from now on. */
    public void addListener(ConfigurationListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /** The documents in force. */
    public Configuration current() {
        return current;
    }

    /** What is known of the stream. */
    public ConfigurationState state() {
        return state;
    }

    /** Takes one record of the stream and returns the verdict on it. */
    public Verdict fold(long offset, ConfigurationRecord record) {
        ConfigurationFold.Result result = lock.with(() -> enter(fold.fold(state, offset, record)));
        deliver();
        return result.verdict();
    }

    /** Takes a peer's state and returns whether this process moved forward. */
    public boolean importPeer(PeerState peer) {
        ConfigurationFold.Result result = lock.with(() -> enter(fold.importPeer(state, peer)));
        deliver();
        return result.verdict() instanceof Verdict.Adopted;
    }

    private ConfigurationFold.Result enter(ConfigurationFold.Result result) {
        AcceptedState before = state.accepted();
        AcceptedState after = result.state().accepted();
        state = result.state();
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

    private void deliver() {
        if (notifications.isEmpty() || undelivered.getAndIncrement() != 0) {
            return;
        }
        do {
            for (Notification next = notifications.poll(); next != null; next = notifications.poll()) {
                next.tell(listeners);
            }
        } while (undelivered.decrementAndGet() != 0);
    }

    private record Notification(Configuration current, List<HistoryEntry> decided) {
        void tell(List<ConfigurationListener> listeners) {
            for (ConfigurationListener listener : listeners) {
                if (current != null) {
                    listener.onConfigurationChanged(current);
                }
                decided.forEach(listener::onChangeSetDecided);
            }
        }
    }
}
