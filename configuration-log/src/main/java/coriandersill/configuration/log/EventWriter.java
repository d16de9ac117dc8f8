package coriandersill.configuration.log;

import coriandersill.configuration.Configuration;
import coriandersill.configuration.ConfigurationListener;
import coriandersill.configuration.HistoryEntry;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import java.util.Map;

/** Records an event for each decided change set, with its author, documents, time and reason. */
record EventWriter(EventLog events) implements ConfigurationListener {

    @Override
    public void onConfigurationChanged(Configuration current) {}

    @Override
    public void onChangeSetDecided(HistoryEntry entry) {
        Map<String, Object> details = Map.of(
                "position", entry.position(),
                "change", entry.changeId(),
                "author", entry.author(),
                "reason", entry.reason(),
                "time", entry.time().toString(),
                "documents", entry.documents().toString(),
                "verdict", entry.verdict().toString());
        events.record(entry.accepted() ? EventCode.CONFIGURATION_APPLIED : EventCode.CONFIGURATION_REFUSED, details);
    }
}
