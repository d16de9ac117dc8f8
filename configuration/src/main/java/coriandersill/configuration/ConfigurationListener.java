package coriandersill.configuration;

/**
 * Hears what a {@link ConfigurationTable} decides; called without a lock held, in order and by one thread at a time.
 */
@FunctionalInterface
public interface ConfigurationListener {

    /** The documents have changed; {@code current} is in force in this process. */
    void onConfigurationChanged(Configuration current);

    /** A change set was decided, whether accepted or refused. */
    default void onChangeSetDecided(HistoryEntry entry) {}
}
