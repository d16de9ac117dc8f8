package coriandersill.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against reads of the store whose number grows with the entries, against entries that read from each other in a
 * circle and so learn nothing, and against entries that keep reading from one that has failed.
 */
final class FeedSourcesTest {
    private static final String FEED = "listings";

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final Map<InstanceId, AvailabilityZone> zones = new HashMap<>();
    private final Map<InstanceId, FeedSources> entries = new HashMap<>();

    private void start(int zoneCount, int entriesPerZone) {
        for (int zone = 0; zone < zoneCount; zone++) {
            for (int i = 0; i < entriesPerZone; i++) {
                zones.put(InstanceId.of("entry-" + zone + "-" + i), AvailabilityZone.of("zone-" + zone));
            }
        }
        zones.forEach((self, zone) -> {
            FeedSources sources = FeedSources.create(self, zone, clock);
            zones.forEach(sources::addPeer);
            entries.put(self, sources);
        });
    }

    private List<InstanceId> storeReaders() {
        List<InstanceId> readers = new ArrayList<>();
        entries.forEach((self, sources) -> {
            if (sources.preferred(FEED).isEmpty()) {
                readers.add(self);
            }
        });
        return readers;
    }

    @ParameterizedTest
    @CsvSource({"1,1", "3,2", "5,7", "12,30"})
    void oneEntryOfTheRegionReadsTheStoreHoweverManyThereAre(int zoneCount, int entriesPerZone) {
        start(zoneCount, entriesPerZone);

        assertThat(storeReaders().size(), is(1));
    }

    @Test
    void onlyTheFirstEntryOfAZoneReadsFromAnotherZone() {
        start(5, 7);
        Map<AvailabilityZone, Integer> acrossZones = new HashMap<>();
        entries.forEach((self, sources) -> sources.preferred(FEED)
                .filter(source -> !zones.get(source).equals(zones.get(self)))
                .ifPresent(source -> acrossZones.merge(zones.get(self), 1, Integer::sum)));

        assertThat(acrossZones.size(), is(4));
        acrossZones.values().forEach(count -> assertThat(count, is(1)));
    }

    @Test
    void feedsAreReadByDifferentEntries() {
        start(5, 7);
        Set<InstanceId> readers = new HashSet<>();
        for (int feed = 0; feed < 10; feed++) {
            String name = "feed-" + feed;
            entries.forEach((self, sources) -> {
                if (sources.preferred(name).isEmpty()) {
                    readers.add(self);
                }
            });
        }

        assertThat(readers.size(), is(not(1)));
    }

    @Test
    void theNextEntryTakesOverWhenTheFirstHasFailedForAllAndTheFirstReturnsLater() {
        start(3, 4);
        InstanceId first = storeReaders().get(0);
        entries.forEach((self, sources) -> sources.recordFailure(first));

        List<InstanceId> readers = storeReaders();
        assertThat("the failed one does not know of its failure", readers.contains(first), is(true));
        assertThat(readers.size(), is(2));

        clock.advance(Duration.ofSeconds(3));
        assertThat(storeReaders(), is(List.of(first)));
    }

    @Test
    void anEntryThatFailsAgainAndAgainIsAskedMoreAndMoreRarely() {
        start(1, 2);
        InstanceId first = storeReaders().get(0);
        FeedSources second = entries.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(first))
                .findFirst()
                .orElseThrow()
                .getValue();
        int asked = 0;
        for (int tenth = 0; tenth < 6_000; tenth++) {
            if (second.preferred(FEED).isPresent()) {
                asked++;
                second.recordFailure(first);
            }
            clock.advance(Duration.ofMillis(100));
        }

        // In 600 s: after 2, 4, 8, 16, 32 and 64 s, then every 64 s.
        assertThat(asked, lessThan(17));
    }

    @Test
    void anEntryThatHasFailedForMinutesIsTakenForGoneButNotSooner() {
        start(1, 2);
        InstanceId first = storeReaders().get(0);
        FeedSources second = entries.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(first))
                .findFirst()
                .orElseThrow()
                .getValue();
        int failures = 0;
        Duration elapsed = Duration.ZERO;
        boolean gone = false;
        while (!gone) {
            gone = second.recordFailure(first);
            failures++;
            while (!gone && second.preferred(FEED).isEmpty()) {
                clock.advance(Duration.ofSeconds(1));
                elapsed = elapsed.plusSeconds(1);
            }
        }

        assertThat(failures, is(7));
        assertThat(elapsed.toSeconds(), is(126L));
    }

    @Test
    void anEntryThatStartsAgainIsAskedAtOnce() {
        start(1, 2);
        InstanceId first = storeReaders().get(0);
        InstanceId second = entries.keySet().stream()
                .filter(entry -> !entry.equals(first))
                .findFirst()
                .orElseThrow();
        entries.get(second).recordFailure(first);
        assertThat(entries.get(second).preferred(FEED), is(Optional.empty()));

        entries.get(second).addPeer(first, zones.get(first));
        assertThat(entries.get(second).preferred(FEED), is(Optional.of(first)));
    }

    @Test
    void anEntryThatCannotReadTheStoreHasASubstituteAsLongAsAnotherAnswers() {
        start(2, 2);
        InstanceId first = storeReaders().get(0);
        FeedSources sources = entries.get(first);
        Set<InstanceId> asked = new HashSet<>();
        while (sources.substitute(FEED).isPresent()) {
            InstanceId substitute = sources.substitute(FEED).orElseThrow();
            asked.add(substitute);
            sources.recordFailure(substitute);
        }

        assertThat(asked.size(), is(3));
        assertThat(asked.contains(first), is(false));
    }

    /** Each entry knows some of the others, and has seen some of them fail. */
    @Test
    void noEntriesReadFromEachOtherInACircleWhateverEachOfThemKnows() {
        start(4, 4);
        for (int seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            entries.clear();
            zones.forEach((self, zone) -> {
                FeedSources sources = FeedSources.create(self, zone, clock);
                zones.forEach((peer, peerZone) -> {
                    if (random.nextInt(3) > 0) {
                        sources.addPeer(peer, peerZone);
                    }
                    if (random.nextInt(3) == 0) {
                        sources.recordFailure(peer);
                    }
                });
                entries.put(self, sources);
            });
            for (InstanceId start : zones.keySet()) {
                int steps = 0;
                Optional<InstanceId> at = Optional.of(start);
                while (at.isPresent() && steps <= zones.size()) {
                    at = entries.get(at.get()).preferred(FEED);
                    steps++;
                }
                assertThat(
                        "steps from " + start + " to the store, seed " + seed, steps, lessThanOrEqualTo(zones.size()));
            }
        }
    }
}
