package coriandersill.upstreams;

/** Calls listeners so that an error in one does not keep the next from being called. Not thread-safe. */
final class Notifications {
    private Throwable firstError;

    /** Calls a listener; an error is kept for {@link #throwFirstError}. */
    void run(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException | Error error) {
            firstError = firstError == null ? error : firstError;
        }
    }

    /** Throws the first error of a listener, if there was one. */
    void throwFirstError() {
        if (firstError instanceof Error error) {
            throw error;
        }
        if (firstError instanceof RuntimeException error) {
            throw error;
        }
    }
}
