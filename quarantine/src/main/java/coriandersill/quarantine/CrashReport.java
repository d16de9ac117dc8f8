package coriandersill.quarantine;

import coriandersill.core.InstanceId;
import java.util.List;
import java.util.Objects;

/**
 * One entry's account of an engine whose process ended.
 *
 * @param engine the process that ended
 * @param reporter the entry that sent the generations
 * @param suspects the generations of this entry that the engine had not proven to serve when it ended
 */
public record CrashReport(EngineIncarnation engine, InstanceId reporter, List<CallTraits> suspects) {
    /** The maximum number of generations in a report; further ones are left out. */
    public static final int MAX_SUSPECTS = 16;

    /** Copies the list and truncates it to {@link #MAX_SUSPECTS}. */
    public CrashReport {
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(reporter, "reporter");
        suspects = List.copyOf(suspects.subList(0, Math.min(MAX_SUSPECTS, suspects.size())));
    }
}
