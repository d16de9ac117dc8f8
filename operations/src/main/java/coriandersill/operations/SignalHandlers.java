package coriandersill.operations;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Hears the signals that ask a process to stop or to read its settings again.
 *
 * <p>The JDK offers this in {@code jdk.unsupported} only, which is reached by reflection so that the build does not
 * depend on it; a platform without it falls back to the shutdown hook.
 */
public final class SignalHandlers {
    private static final List<String> STOP = List.of("TERM", "INT");
    private static final List<String> RELOAD = List.of("HUP");

    private SignalHandlers() {}

    /** Calls {@code action} at each signal that asks to stop, the first and any later one. */
    public static void onTermination(Runnable action) {
        if (!handle(STOP, action)) {
            Runtime.getRuntime().addShutdownHook(new Thread(action, "stop"));
        }
    }

    /** Calls {@code action} at each signal that asks to read the settings again; without signals it is never called. */
    public static void onReload(Runnable action) {
        handle(RELOAD, action);
    }

    private static boolean handle(List<String> names, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    SignalHandlers.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            Method register = signal.getMethod("handle", signal, handler);
            for (String name : names) {
                register.invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
            }
            return true;
        } catch (ReflectiveOperationException missing) {
            return false;
        }
    }
}
