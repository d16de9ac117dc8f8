package coriandersill.quarantine;

import coriandersill.core.InstanceId;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The decision to refuse generations with a prompt part, and its evidence.
 *
 * @param part the part that was in a generation at each of the crashes
 * @param scope the traits that the crashes have in common; only generations with all of them are refused
 * @param crashes the number of crashes since the part was last seen in a generation that succeeded
 * @param engines the engines that crashed, the most recent last; not all of them if there are many
 * @param reporter the entry that reported the most recent crash; it is the first to test whether the part still crashes
 *     engines
 */
public record QuarantineVerdict(
        PromptPart part, CallTraits scope, int crashes, List<InstanceId> engines, InstanceId reporter) {

    /** Copies the list; throws if an argument is null or {@code scope} does not contain {@code part}. */
    public QuarantineVerdict {
        Objects.requireNonNull(reporter, "reporter");
        engines = List.copyOf(engines);
        if (!scope.parts().contains(part)) {
            throw new IllegalArgumentException("scope: expected to contain part " + part + ", found " + scope.parts());
        }
    }

    /** Returns the evidence by name, for a log line. */
    public Map<String, Object> evidence() {
        return Map.of("part", part, "scope", scope, "crashes", crashes, "engines", engines, "reporter", reporter);
    }
}
