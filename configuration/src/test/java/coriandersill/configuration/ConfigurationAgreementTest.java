package coriandersill.configuration;

import static coriandersill.configuration.TestDocuments.change;
import static coriandersill.configuration.TestDocuments.zone;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Checks that processes that start at different records and read late snapshots and peer states agree with a process
 * that reads the whole stream (cases C1, C3, C4, C6 and C8 in docs/design/configuration.md).
 */
final class ConfigurationAgreementTest {
    private static final int SEED_COUNT = 200;
    private static final ConfigurationStateMachine STATE_MACHINE = ConfigurationStateMachine.of(StandardRule.all());

    private interface Step {
        ConfigurationState apply(ConfigurationState state, long offset, ConfigurationRecord record);
    }

    @Test
    void everyProcessReachesTheStateOfAFullReaderAndNoneReverts() {
        assertThat(
                violations((state, offset, record) ->
                        STATE_MACHINE.apply(state, offset, record).state()),
                is(empty()));
    }

    @Test
    void theCheckDetectsAStateMachineThatAdoptsAnySnapshot() {
        assertThat(
                violations((state, offset, record) -> {
                    if (record instanceof SnapshotChunk chunk && chunk.count() == 1) {
                        AcceptedState snapshot =
                                SnapshotChunk.join(List.of(chunk)).atPosition(offset);
                        return new ConfigurationState(StateOrigin.SNAPSHOT, snapshot, List.of(), Map.of());
                    }
                    return STATE_MACHINE.apply(state, offset, record).state();
                }),
                not(empty()));
    }

    @Test
    void theCheckDetectsAStateMachineThatDecidesWithoutTheBaseState() {
        assertThat(
                violations((state, offset, record) -> {
                    AcceptedState base = state.accepted().atPosition(Math.max(state.position(), offset - 1));
                    ConfigurationState withoutGap =
                            new ConfigurationState(state.origin(), base, List.of(), state.partialSnapshots());
                    return STATE_MACHINE.apply(withoutGap, offset, record).state();
                }),
                not(empty()));
    }

    private static List<String> violations(Step step) {
        List<String> found = new ArrayList<>();
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            Random random = new Random(seed);
            List<ConfigurationRecord> stream = randomStream(random);
            ConfigurationState fullReader = ConfigurationState.initial();
            ConfigurationState lateReader = ConfigurationState.initial();
            int start = random.nextInt(stream.size());
            for (int offset = 0; offset < stream.size(); offset++) {
                fullReader = step.apply(fullReader, offset, stream.get(offset));
                if (offset < start || random.nextInt(20) == 0) {
                    continue;
                }
                long before = lateReader.position();
                lateReader = step.apply(lateReader, offset, stream.get(offset));
                if (random.nextInt(15) == 0) {
                    lateReader = STATE_MACHINE
                            .importPeer(
                                    lateReader, PeerState.changesSince(lateReader.position(), fullReader.accepted()))
                            .state();
                }
                if (lateReader.position() < before) {
                    found.add("seed " + seed + " offset " + offset + ": position decreased");
                }
                if (lateReader.origin().isComplete()
                        && lateReader.position() == fullReader.position()
                        && !lateReader.accepted().equals(fullReader.accepted())) {
                    found.add("seed " + seed + " offset " + offset + ": states differ");
                }
            }
            if (!fullReader.accepted().equals(expectedState(stream))) {
                found.add("seed " + seed + ": the full reader's state differs from the expected state");
            }
        }
        return found;
    }

    private static AcceptedState expectedState(List<ConfigurationRecord> stream) {
        ConfigurationState state = ConfigurationState.initial();
        for (int offset = 0; offset < stream.size(); offset++) {
            state = STATE_MACHINE.apply(state, offset, stream.get(offset)).state();
        }
        return state.accepted();
    }

    private static List<ConfigurationRecord> randomStream(Random random) {
        List<ConfigurationRecord> stream = new ArrayList<>();
        List<AcceptedState> pastStates = new ArrayList<>(List.of(AcceptedState.empty()));
        ConfigurationState state = ConfigurationState.initial();
        while (stream.size() < 60) {
            AcceptedState base = pastStates.get(Math.max(0, pastStates.size() - 1 - random.nextInt(3)));
            if (random.nextInt(6) == 0) {
                AcceptedState snapshot = pastStates.get(random.nextInt(pastStates.size()));
                stream.addAll(SnapshotChunk.split("s" + stream.size(), snapshot, 1 + random.nextInt(40)));
            } else {
                ZoneDocument zone = zone("z" + random.nextInt(4), random.nextInt(3) > 0);
                long baseVersion = base.version(zone.documentName());
                DocumentEdit edit = baseVersion >= 0 && random.nextInt(4) == 0
                        ? DocumentEdit.delete(zone.documentName(), baseVersion)
                        : DocumentEdit.put(zone, baseVersion);
                stream.add(change("c" + random.nextInt(50), base.position(), edit));
            }
            for (int offset = pastStates.size() - 1; offset < stream.size(); offset++) {
                state = STATE_MACHINE.apply(state, offset, stream.get(offset)).state();
                pastStates.add(state.accepted());
            }
        }
        return stream;
    }
}
