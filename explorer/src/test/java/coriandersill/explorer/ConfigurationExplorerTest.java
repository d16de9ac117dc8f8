package coriandersill.explorer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.ChangeSet;
import coriandersill.configuration.ConfigurationRecord;
import coriandersill.configuration.ConfigurationStateMachine;
import coriandersill.configuration.ConfigurationTable;
import coriandersill.configuration.DocumentEdit;
import coriandersill.configuration.SnapshotChunk;
import coriandersill.configuration.StandardRule;
import coriandersill.configuration.ZoneDocument;
import coriandersill.core.AvailabilityZone;
import coriandersill.documents.RecordCodec;
import coriandersill.sharedlog.LogFollower;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Checks that no process reverts to older documents, and that all processes agree in the end, although changes are
 * concurrent and snapshots reach the log after newer changes (cases C1, C2 and C4 in docs/design/configuration.md).
 */
final class ConfigurationExplorerTest {
    private static final int SCHEDULES = 1_000;
    private static final String STREAM = "configuration";
    /** The period in which the changes and snapshots are published and the failures injected. */
    private static final Duration ACTIVE_PERIOD = Duration.ofSeconds(10);

    private int totalDocuments;

    @Test
    void noProcessRevertsAndAllAgreeUnderEverySchedule() {
        Explorer.of(simulation -> new Run(simulation, false).run()).explore(1, SCHEDULES);
        System.out.println(SCHEDULES + " schedules: " + totalDocuments + " documents in the final states");
        assertThat(totalDocuments, greaterThan(SCHEDULES));
    }

    @Test
    void aProcessThatReplacesItsStateByEverySnapshotIsDetected() {
        boolean found = Explorer.of(simulation -> new Run(simulation, true).run())
                .firstFailure(1, SCHEDULES)
                .isPresent();
        assertThat(found, is(true));
    }

    private final class Run {
        private final Simulation simulation;
        /** An injected bug: a process discards its state when it reads a snapshot chunk, even one of an older state. */
        private final boolean replacesStateBySnapshots;

        private final List<ConfigurationProcess> processes = new ArrayList<>();
        private final List<String> violations = new ArrayList<>();

        private Run(Simulation simulation, boolean replacesStateBySnapshots) {
            this.simulation = simulation;
            this.replacesStateBySnapshots = replacesStateBySnapshots;
        }

        private void run() {
            for (int i = 0; i < 3; i++) {
                processes.add(new ConfigurationProcess());
            }
            for (int i = 0; i < 8; i++) {
                String id = "change-" + i;
                simulation.schedule(simulation.randomDuration(ACTIVE_PERIOD), () -> randomProcess()
                        .publish(id));
                simulation.schedule(simulation.randomDuration(ACTIVE_PERIOD), () -> randomProcess()
                        .publishSnapshot());
            }
            simulation.schedule(
                    simulation.randomDuration(ACTIVE_PERIOD),
                    () -> randomProcess().process.pause(simulation.randomDuration(ACTIVE_PERIOD)));
            simulation.schedule(
                    simulation.randomDuration(ACTIVE_PERIOD),
                    () -> simulation.log().startOutage(simulation.randomDuration(ACTIVE_PERIOD)));
            simulation.schedule(
                    simulation.randomDuration(ACTIVE_PERIOD), () -> processes.add(new ConfigurationProcess()));
            simulation.run(ACTIVE_PERIOD.multipliedBy(6));
            if (!violations.isEmpty()) {
                throw new AssertionError(violations.toString());
            }
            AcceptedState first = processes.get(0).state;
            for (int i = 1; i < processes.size(); i++) {
                AcceptedState other = processes.get(i).state;
                if (!other.documents().equals(first.documents())) {
                    throw new AssertionError("accepted documents of process " + i + ": expected those of process 0, "
                            + first.documents() + ", found " + other.documents());
                }
            }
            totalDocuments += first.documents().size();
        }

        private ConfigurationProcess randomProcess() {
            return processes.get(simulation.random().nextInt(processes.size()));
        }

        private final class ConfigurationProcess {
            private final SimulatedProcess process = simulation.startProcess("reader");
            private final ConfigurationTable table =
                    ConfigurationTable.of(ConfigurationStateMachine.of(StandardRule.all()));
            private AcceptedState state = AcceptedState.empty();

            private ConfigurationProcess() {
                LogFollower follower = LogFollower.builder(process.logClient(), STREAM, process.scheduler())
                        .random(simulation.random())
                        .clock(simulation.clock())
                        .handler(record -> apply(record.offset(), record.data()))
                        .build();
                CompletableFuture<Void> unused = follower.start();
            }

            private void apply(long offset, byte[] data) {
                ConfigurationRecord record = RecordCodec.decode(data);
                table.apply(offset, record);
                AcceptedState before = state;
                boolean replacesState = replacesStateBySnapshots && record instanceof SnapshotChunk;
                state = (replacesState ? tableOfSingleRecord(offset, record) : table)
                        .state()
                        .accepted();
                before.documents().forEach((name, document) -> {
                    if (state.version(name) < before.version(name)) {
                        violations.add(
                                name + " reverted from version " + before.version(name) + " to " + state.version(name));
                    }
                });
            }

            private static ConfigurationTable tableOfSingleRecord(long offset, ConfigurationRecord record) {
                ConfigurationTable singleRecordTable =
                        ConfigurationTable.of(ConfigurationStateMachine.of(StandardRule.all()));
                singleRecordTable.apply(offset, record);
                return singleRecordTable;
            }

            private void publish(String id) {
                AvailabilityZone zone =
                        AvailabilityZone.of("a-" + simulation.random().nextInt(3));
                ZoneDocument document = new ZoneDocument(zone, "a", simulation.randomBoolean(0.5));
                DocumentEdit edit = DocumentEdit.put(document, state.version(document.documentName()));
                append(RecordCodec.encode(ChangeSet.of(
                        id, "almaz", "test", simulation.clock().instant(), state.position(), List.of(edit))));
            }

            private void publishSnapshot() {
                AcceptedState snapshot = state;
                Duration delay = simulation.randomDuration(ACTIVE_PERIOD);
                simulation.schedule(delay, () -> SnapshotChunk.split("s" + delay.toMillis(), snapshot, 100)
                        .forEach(chunk -> append(RecordCodec.encode(chunk))));
            }

            private void append(byte[] data) {
                process.run(() -> {
                    CompletableFuture<Long> unused = process.logClient().append(STREAM, List.of(data));
                });
            }
        }
    }
}
