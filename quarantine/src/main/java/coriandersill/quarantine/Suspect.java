package coriandersill.quarantine;

import coriandersill.core.InstanceId;
import coriandersill.core.WorkspaceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A prompt part and the crashes since it was last seen in a generation that succeeded. Not thread-safe. */
final class Suspect {
    /** The maximum number of crashes whose traits are kept; the count goes on. */
    private static final int MAX_RETAINED_CRASHES = 8;

    private final PromptPart part;
    private final Map<EngineIncarnation, CrashTraits> crashes = new LinkedHashMap<>();
    private Optional<CallTraits> adoptedScope = Optional.empty();
    private InstanceId reporter;
    private int count;
    private long lastCrashNanos;
    private Optional<String> probingCall = Optional.empty();
    private long probeStartedNanos;

    /** The traits of all generations with the part that were at one engine when it crashed. */
    private static final class CrashTraits {
        private final Set<PromptPart> parts = new LinkedHashSet<>();
        private final Set<Optional<WorkspaceName>> workspaces = new LinkedHashSet<>();

        private void add(CallTraits traits) {
            parts.addAll(traits.parts());
            workspaces.add(traits.workspace());
        }

        private CallTraits intersect(CallTraits scope) {
            Set<PromptPart> common = new LinkedHashSet<>(scope.parts());
            common.retainAll(parts);
            return new CallTraits(
                    workspaces.contains(scope.workspace()) ? scope.workspace() : Optional.empty(), common);
        }
    }

    Suspect(PromptPart part, InstanceId reporter) {
        this.part = part;
        this.reporter = reporter;
    }

    PromptPart part() {
        return part;
    }

    int count() {
        return count;
    }

    InstanceId reporter() {
        return reporter;
    }

    Duration sinceLastCrash(long now) {
        return Duration.ofNanos(now - lastCrashNanos);
    }

    /**
     * Adds a generation that was at {@code engine} when it crashed. Crashes within {@code simultaneous} of the previous
     * one count as one, since they may have a common cause outside the generations, such as a power failure.
     */
    void add(EngineIncarnation engine, CallTraits traits, InstanceId reportedBy, long now, Duration simultaneous) {
        CrashTraits known = crashes.get(engine);
        if (known == null) {
            if (count == 0 || now - lastCrashNanos >= simultaneous.toNanos()) {
                count++;
            }
            lastCrashNanos = now;
            probingCall = Optional.empty();
            reporter = reportedBy;
            if (crashes.size() == MAX_RETAINED_CRASHES) {
                crashes.remove(crashes.keySet().iterator().next());
            }
            known = new CrashTraits();
            crashes.put(engine, known);
        }
        known.add(traits);
    }

    /** Takes over the verdict of another entry. */
    void adopt(QuarantineVerdict verdict, long now) {
        adoptedScope = Optional.of(
                adoptedScope.map(scope -> scope.intersect(verdict.scope())).orElse(verdict.scope()));
        if (verdict.crashes() > count) {
            count = verdict.crashes();
            reporter = verdict.reporter();
            lastCrashNanos = now;
            probingCall = Optional.empty();
        }
    }

    /** Returns the traits that all crashes have in common; they include the part itself. */
    CallTraits scope() {
        Optional<CallTraits> scope = adoptedScope;
        for (CrashTraits crash : crashes.values()) {
            scope = Optional.of(scope.map(crash::intersect).orElseGet(() -> first(crash)));
        }
        return scope.orElseGet(() -> CallTraits.of(Optional.empty(), Set.of(part)));
    }

    private static CallTraits first(CrashTraits crash) {
        Optional<WorkspaceName> onlyWorkspace =
                crash.workspaces.size() == 1 ? crash.workspaces.iterator().next() : Optional.empty();
        return CallTraits.of(onlyWorkspace, crash.parts);
    }

    QuarantineVerdict verdict() {
        List<InstanceId> engines = new ArrayList<>();
        crashes.keySet().forEach(engine -> engines.add(engine.instance()));
        return new QuarantineVerdict(part, scope(), count, engines, reporter);
    }

    /** Returns whether {@code call} is the generation that tests the part, or may become it. */
    boolean tryProbe(String call, long now, Duration probeTimeout) {
        boolean free = probingCall.isEmpty() || now - probeStartedNanos > probeTimeout.toNanos();
        if (free) {
            probingCall = Optional.of(call);
            probeStartedNanos = now;
        }
        return free || probingCall.get().equals(call);
    }
}
