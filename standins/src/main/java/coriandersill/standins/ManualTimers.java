package coriandersill.standins;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Timers of a Vert.x instance that fire only when told to, and that can fail to be set; for tests.
 *
 * <pre>{@code
 * ManualTimers timers = ManualTimers.of(vertx);
 * component.start(timers.vertx());
 * timers.fire(Duration.ofMillis(20));
 * }</pre>
 *
 * <p>Everything but timers is that of the given instance. Thread-safe.
 */
public final class ManualTimers {
    /** The least identifier, so that none is taken for one of the given instance. */
    private static final long FIRST_ID = 1_000_000;

    private final Vertx delegate;
    private final Vertx vertx;
    private final List<Timer> timers = new CopyOnWriteArrayList<>();
    private final AtomicLong nextId = new AtomicLong(FIRST_ID);
    private final AtomicInteger remainingFailures = new AtomicInteger();

    private record Timer(long id, Duration delay, boolean periodic, Handler<Long> handler) {}

    private ManualTimers(Vertx delegate) {
        this.delegate = Objects.requireNonNull(delegate, "delegate");
        this.vertx = (Vertx) Proxy.newProxyInstance(
                Vertx.class.getClassLoader(),
                new Class<?>[] {Vertx.class},
                (proxy, method, arguments) -> invoke(method, arguments));
    }

    /** Returns timers for the users of {@link #vertx}, in place of those of {@code delegate}. */
    public static ManualTimers of(Vertx delegate) {
        return new ManualTimers(delegate);
    }

    /** Returns the instance whose timers these are. */
    public Vertx vertx() {
        return vertx;
    }

    /** Makes the next {@code count} attempts to set a timer throw a {@link LinkageError}. */
    public void failNext(int count) {
        remainingFailures.set(count);
    }

    /** Returns the number of timers with the given delay or interval. */
    public int count(Duration delay) {
        return withDelay(delay).size();
    }

    /** Fires the timers with the given delay or interval, on this thread; throws what their handlers throw. */
    public void fire(Duration delay) {
        for (Timer timer : withDelay(delay)) {
            if (!timer.periodic()) {
                timers.remove(timer);
            }
            timer.handler().handle(timer.id());
        }
    }

    private List<Timer> withDelay(Duration delay) {
        return timers.stream().filter(timer -> timer.delay().equals(delay)).toList();
    }

    private Object invoke(Method method, Object[] arguments) throws Throwable {
        return switch (method.getName()) {
            case "setTimer" -> add(false, arguments);
            case "setPeriodic" -> add(true, arguments);
            case "cancelTimer" -> timers.removeIf(timer -> arguments[0].equals(timer.id()));
            default -> invokeDelegate(method, arguments);
        };
    }

    /** Adds a timer whose last arguments are its delay or interval in milliseconds, and its handler. */
    private Long add(boolean periodic, Object... arguments) {
        if (remainingFailures.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
            throw new LinkageError("no timer");
        }
        @SuppressWarnings("unchecked")
        Handler<Long> handler = (Handler<Long>) arguments[arguments.length - 1];
        Duration delay = Duration.ofMillis((Long) arguments[arguments.length - 2]);
        Timer timer = new Timer(nextId.getAndIncrement(), delay, periodic, handler);
        timers.add(timer);
        return timer.id();
    }

    private Object invokeDelegate(Method method, Object... arguments) throws Throwable {
        try {
            return method.invoke(delegate, arguments);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }
}
