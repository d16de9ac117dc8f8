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

/** Waits until a condition becomes true; fails after a timeout. */
final class Await {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
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
            reached.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
        } finally {
            poll.cancel(false);
        }
    }

    /** Polls a value until it satisfies {@code expected}, and returns it. */
    static <T> T untilValue(Supplier<T> supplier, Predicate<T> expected) {
        AtomicReference<T> last = new AtomicReference<>();
        try {
            until(() -> {
                last.set(supplier.get());
                return expected.test(last.get());
            });
        } catch (CompletionException e) {
            throw new AssertionError(
                    "expected condition not met within " + TIMEOUT.toSeconds() + " s; last value: " + last.get(), e);
        }
        return last.get();
    }
}
