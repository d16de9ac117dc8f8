package coriandersill.daemon.internal;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Hears the signals that ask a process to stop.
 *
 * <p>The JDK offers this in {@code jdk.unsupported} only, which is reached by reflection so that the build does not
 * depend on it; a platform without it falls back to the shutdown hook.
 */
public final class StopSignals {
    private static final List<String> NAMES = List.of("TERM", "INT");

    private StopSignals() {}

    /** Calls {@code action} at each signal, the first and any later one. */
    public static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    StopSignals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            Method register = signal.getMethod("handle", signal, handler);
            for (String name : NAMES) {
                register.invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
            }
        } catch (ReflectiveOperationException missing) {
            Runtime.getRuntime().addShutdownHook(new Thread(action, "stop"));
        }
    }
}
