import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The platform's balancer: asks each entry once a second whether it is ready; two misses take it out. */
final class Balancer implements AutoCloseable {
    private static final int INTERVAL_MILLIS = 1_000;
    private static final int MISSES = 2;

    private final List<Entry> entries;
    private final Map<Entry, Integer> misses = new HashMap<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    Balancer(List<Entry> entries) {
        this.entries = entries;
    }

    void start() {
        for (Entry entry : entries) {
            Thread thread = new Thread(() -> watch(entry), "readiness of " + entry.name());
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void watch(Entry entry) {
        try {
            while (!stopped) {
                boolean ready = entry.isReady();
                synchronized (misses) {
                    misses.merge(entry, 1, (known, one) -> ready ? 0 : known + one);
                    if (ready) {
                        misses.put(entry, 0);
                    }
                }
                Thread.sleep(INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the entry that gets a new connection; all are used if none is in rotation. */
    Entry choose(Random random) {
        List<Entry> inRotation = new ArrayList<>();
        synchronized (misses) {
            for (Entry entry : entries) {
                if (misses.getOrDefault(entry, 0) < MISSES) {
                    inRotation.add(entry);
                }
            }
        }
        List<Entry> used = inRotation.isEmpty() ? entries : inRotation;
        return used.get(random.nextInt(used.size()));
    }

    @Override
    public void close() {
        stopped = true;
    }
}
