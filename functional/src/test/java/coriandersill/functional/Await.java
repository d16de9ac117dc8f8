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

/** Waits until a condition becomes true; fails if it is not true within 30 s. */
final class Await {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final long POLL_INTERVAL_MILLIS = 10;
    private static final ScheduledExecutorService TIMER = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "await");
        thread.setDaemon(true);
        return thread;
    });

    private Await() {}

    /** Polls a condition until it is true; throws {@link CompletionException} if it throws or the timeout passes. */
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
                POLL_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        try {
            reached.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
        } catch (CompletionException e) {
            throw new CompletionException(
                    "condition not met (timeout " + TIMEOUT.toSeconds() + " s): " + e.getCause(), e.getCause());
        } finally {
            poll.cancel(false);
        }
    }

    /**
     * Polls a value until it satisfies {@code expected}, and returns it; throws {@link AssertionError} after the
     * timeout.
     */
    static <T> T untilValue(Supplier<T> supplier, Predicate<T> expected) {
        AtomicReference<T> last = new AtomicReference<>();
        try {
            until(() -> {
                last.set(supplier.get());
                return expected.test(last.get());
            });
        } catch (CompletionException e) {
            throw new AssertionError(
                    "expected value not found (timeout " + TIMEOUT.toSeconds() + " s); last value: " + last.get(), e);
        }
        return last.get();
    }
}
