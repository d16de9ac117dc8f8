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
 * C1, C3, C4, C6, C8: processes that begin at different records, with late snapshots and peers, agree with a full
 * reader.
 */
final class ConfigurationAgreementTest {
    private static final int RUNS = 200;
    private static final ConfigurationFold FOLD = ConfigurationFold.of(StandardRule.all());

    private interface Step {
        ConfigurationState fold(ConfigurationState state, long offset, ConfigurationRecord record);
    }

    @Test
    void everyProcessReachesTheStateOfAFullReaderAndNoneReverts() {
        assertThat(
                violations((state, offset, record) ->
                        FOLD.fold(state, offset, record).state()),
                is(empty()));
    }

    @Test
    void theCheckFindsAFoldThatTakesAnySnapshot() {
        assertThat(
                violations((state, offset, record) -> {
                    if (record instanceof SnapshotChunk chunk && chunk.count() == 1) {
                        AcceptedState snapshot =
                                SnapshotChunk.join(List.of(chunk)).at(offset);
                        return new ConfigurationState(StateOrigin.SNAPSHOT, snapshot, List.of(), Map.of());
                    }
                    return FOLD.fold(state, offset, record).state();
                }),
                not(empty()));
    }

    @Test
    void theCheckFindsAFoldThatDecidesWithoutTheBase() {
        assertThat(
                violations((state, offset, record) -> {
                    AcceptedState base = state.accepted().at(Math.max(state.position(), offset - 1));
                    ConfigurationState blind =
                            new ConfigurationState(state.origin(), base, List.of(), state.partialSnapshots());
                    return FOLD.fold(blind, offset, record).state();
                }),
                not(empty()));
    }

    private static List<String> violations(Step step) {
        List<String> found = new ArrayList<>();
        for (long seed = 1; seed <= RUNS; seed++) {
            Random random = new Random(seed);
            List<ConfigurationRecord> stream = stream(random);
            ConfigurationState full = ConfigurationState.initial();
            ConfigurationState newcomer = ConfigurationState.initial();
            int start = random.nextInt(stream.size());
            for (int offset = 0; offset < stream.size(); offset++) {
                full = step.fold(full, offset, stream.get(offset));
                if (offset < start || random.nextInt(20) == 0) {
                    continue;
                }
                long before = newcomer.position();
                newcomer = step.fold(newcomer, offset, stream.get(offset));
                if (random.nextInt(15) == 0) {
                    newcomer = FOLD.importPeer(newcomer, PeerState.changesSince(newcomer.position(), full.accepted()))
                            .state();
                }
                if (newcomer.position() < before) {
                    found.add("seed " + seed + " offset " + offset + ": position went back");
                }
                if (newcomer.origin().isComplete()
                        && newcomer.position() == full.position()
                        && !newcomer.accepted().equals(full.accepted())) {
                    found.add("seed " + seed + " offset " + offset + ": states differ");
                }
            }
            if (!full.accepted().equals(correct(stream))) {
                found.add("seed " + seed + ": the full reader reverted");
            }
        }
        return found;
    }

    private static AcceptedState correct(List<ConfigurationRecord> stream) {
        ConfigurationState state = ConfigurationState.initial();
        for (int offset = 0; offset < stream.size(); offset++) {
            state = FOLD.fold(state, offset, stream.get(offset)).state();
        }
        return state.accepted();
    }

    private static List<ConfigurationRecord> stream(Random random) {
        List<ConfigurationRecord> stream = new ArrayList<>();
        List<AcceptedState> past = new ArrayList<>(List.of(AcceptedState.empty()));
        ConfigurationState state = ConfigurationState.initial();
        while (stream.size() < 60) {
            AcceptedState seen = past.get(Math.max(0, past.size() - 1 - random.nextInt(3)));
            if (random.nextInt(6) == 0) {
                AcceptedState snapshot = past.get(random.nextInt(past.size()));
                stream.addAll(SnapshotChunk.split("s" + stream.size(), snapshot, 1 + random.nextInt(40)));
            } else {
                ZoneDocument zone = zone("z" + random.nextInt(4), random.nextInt(3) > 0);
                long base = seen.version(zone.documentName());
                DocumentEdit edit = base >= 0 && random.nextInt(4) == 0
                        ? DocumentEdit.delete(zone.documentName(), base)
                        : DocumentEdit.put(zone, base);
                stream.add(change("c" + random.nextInt(50), seen.position(), edit));
            }
            for (int offset = past.size() - 1; offset < stream.size(); offset++) {
                state = FOLD.fold(state, offset, stream.get(offset)).state();
                past.add(state.accepted());
            }
        }
        return stream;
    }
}
