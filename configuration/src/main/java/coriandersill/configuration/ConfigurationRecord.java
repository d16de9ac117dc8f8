package coriandersill.configuration;

import java.util.List;

/** One record of the configuration stream. */
public sealed interface ConfigurationRecord
        permits ChangeSet, SnapshotChunk, ConfigurationRecord.Malformed, ConfigurationRecord.Unknown {

    /**
     * A change set that cannot be read; it is refused everywhere in the same way.
     *
     * @param changeId its id, as far as it could be read, else empty
     * @param author its author, as far as it could be read, else empty
     * @param problems what is wrong with it
     */
    record Malformed(String changeId, String author, List<Problem> problems) implements ConfigurationRecord {

        /** Copies the problems. */
        public Malformed {
            problems = List.copyOf(problems);
        }
    }

    /**
     * A record of a type that this version does not know; it is skipped.
     *
     * @param type the type as it was found
     */
    record Unknown(String type) implements ConfigurationRecord {}
}
