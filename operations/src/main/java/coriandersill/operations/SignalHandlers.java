package coriandersill.operations;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Registers handlers of the signals that terminate a process or make it reload its settings.
 *
 * <p>The only API for this is in the module {@code jdk.unsupported}. It is called by reflection, so that the build does
 * not depend on it; without it, a shutdown hook replaces the handler for termination.
 */
public final class SignalHandlers {
    private static final List<String> TERMINATION_SIGNALS = List.of("TERM", "INT");
    private static final List<String> RELOAD_SIGNALS = List.of("HUP");

    private SignalHandlers() {}

    /** Runs {@code action} on each SIGTERM or SIGINT, including repeated ones. */
    public static void onTermination(Runnable action) {
        if (!register(TERMINATION_SIGNALS, action)) {
            Runtime.getRuntime().addShutdownHook(new Thread(action, "stop"));
        }
    }

    /** Runs {@code action} on each SIGHUP; never, if the JDK does not support signal handlers. */
    public static void onReload(Runnable action) {
        register(RELOAD_SIGNALS, action);
    }

    private static boolean register(List<String> signalNames, Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    SignalHandlers.class.getClassLoader(), new Class<?>[] {handlerClass}, (self, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            Method handleMethod = signalClass.getMethod("handle", signalClass, handlerClass);
            for (String signalName : signalNames) {
                handleMethod.invoke(
                        null, signalClass.getConstructor(String.class).newInstance(signalName), proxy);
            }
            return true;
        } catch (ReflectiveOperationException unsupported) {
            return false;
        }
    }
}
