package coriandersill.configuration;

import java.util.List;

/** One record of the configuration stream. */
public sealed interface ConfigurationRecord
        permits ChangeSet, SnapshotChunk, ConfigurationRecord.Malformed, ConfigurationRecord.Unknown {

    /**
     * A change set that cannot be decoded; every process rejects it in the same way.
     *
     * @param changeId its id; empty if it could not be decoded
     * @param author its author; empty if it could not be decoded
     * @param problems what is wrong with it
     */
    record Malformed(String changeId, String author, List<Problem> problems) implements ConfigurationRecord {

        /** Copies the problems. */
        public Malformed {
            problems = List.copyOf(problems);
        }
    }

    /**
     * A record of a type that this software version does not support; it is skipped.
     *
     * @param type the type named in the record
     */
    record Unknown(String type) implements ConfigurationRecord {}
}
