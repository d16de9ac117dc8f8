package coriandersill.configuration;

/** Receives the decisions of a {@link ConfigurationTable}: in order, by one thread at a time, with no lock held. */
@FunctionalInterface
public interface ConfigurationListener {

    /** Called when the documents have changed; {@code current} is now in effect in this process. */
    void onConfigurationChanged(Configuration current);

    /** Called when a change set was accepted or rejected. */
    default void onChangeSetDecided(HistoryEntry entry) {}
}
