package coriandersill.operations;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Registers handlers for the signals that terminate a process, SIGTERM and SIGINT, or make it reload its settings,
 * SIGHUP.
 *
 * <p>The only API for signal handlers, {@code sun.misc.Signal}, is in the module {@code jdk.unsupported}. It is called
 * by reflection, so that the build does not depend on that module. On a JDK without the module, a shutdown hook takes
 * the place of the termination handler, and SIGHUP is not handled.
 */
public final class SignalHandlers {
    private static final List<String> TERMINATION_SIGNALS = List.of("TERM", "INT");
    private static final List<String> RELOAD_SIGNALS = List.of("HUP");

    private SignalHandlers() {}

    /**
     * Runs {@code action} on each SIGTERM or SIGINT, including repeated ones; if the JDK does not support signal
     * handlers, runs it once, in a shutdown hook.
     */
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
