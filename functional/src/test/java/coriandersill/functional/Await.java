package coriandersill.functional;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Waits for a condition that becomes true by itself; fails after a generous time. */
final class Await {
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final ScheduledExecutorService TIMER = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "await");
        thread.setDaemon(true);
        return thread;
    });

    private Await() {}

    static void until(BooleanSupplier condition) {
        CompletableFuture<Void> reached = new CompletableFuture<>();
        ScheduledFuture<?> poll = TIMER.scheduleAtFixedRate(
                () -> {
                    try {
                        if (condition.getAsBoolean()) {
                            reached.complete(null);
                        }
                    } catch (RuntimeException | AssertionError e) {
                        reached.completeExceptionally(e);
                    }
                },
                0,
                10,
                TimeUnit.MILLISECONDS);
        try {
            reached.orTimeout(PATIENCE.toSeconds(), TimeUnit.SECONDS).join();
        } finally {
            poll.cancel(false);
        }
    }

    /** Asks again until the answer is as wanted. */
    static <T> T value(Supplier<T> question, Predicate<T> wanted) {
        AtomicReference<T> last = new AtomicReference<>();
        try {
            until(() -> {
                last.set(question.get());
                return wanted.test(last.get());
            });
        } catch (CompletionException inVain) {
            throw new AssertionError("waited in vain; the last answer was " + last.get(), inVain);
        }
        return last.get();
    }
}
