package coriandersill.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Checks that many processes, each with its own schedule, publish few snapshots; in virtual time (case C10 in
 * docs/design/configuration.md).
 */
final class SnapshotScheduleTest {
    private static final SnapshotPolicy POLICY =
            new SnapshotPolicy(Duration.ofHours(6), 1000, Duration.ofMinutes(90), Duration.ofSeconds(10));
    private static final int PROCESS_COUNT = 350;

    @Test
    void of350ProcessesFewPublishInADayAndNeverLaterThanIntervalPlusJitter() {
        List<Instant> published = publications(true);
        assertThat(published.size(), lessThanOrEqualTo(8));
        Instant last = Instant.EPOCH;
        for (Instant time : published) {
            // The interval of 360 min, the maximum jitter of 90 min, and 1 min for the steps of the simulation.
            assertThat(Duration.between(last, time), lessThanOrEqualTo(Duration.ofMinutes(451)));
            last = time;
        }
    }

    @Test
    void withoutSuppressionEveryProcessPublishes() {
        assertThat(publications(false).size(), greaterThan(PROCESS_COUNT));
    }

    @Test
    void anotherProcessPublishesWhenThePublisherOfASnapshotStopsHalfway() {
        Random random = new Random(5);
        SnapshotSchedule schedule = SnapshotSchedule.initial(POLICY, Instant.EPOCH, random);
        schedule = schedule.afterChunk(Instant.EPOCH, random);
        assertThat(schedule.isDue(Instant.EPOCH.plus(Duration.ofMinutes(89))), is(false));
        assertThat(schedule.isDue(Instant.EPOCH.plus(Duration.ofMinutes(181))), is(true));
    }

    @Test
    void manyChangesBringTheNextSnapshotForwardOnce() {
        Random random = new Random(6);
        SnapshotSchedule schedule =
                SnapshotSchedule.initial(POLICY, Instant.EPOCH, random).afterSnapshot(Instant.EPOCH, random);
        for (int i = 0; i < 999; i++) {
            schedule = schedule.afterRecord(Instant.EPOCH, random);
        }
        assertThat(schedule.isDue(Instant.EPOCH.plus(POLICY.maxJitter())), is(false));
        schedule = schedule.afterRecord(Instant.EPOCH, random).afterRecord(Instant.EPOCH.plusSeconds(1), random);
        assertThat(schedule.isDue(Instant.EPOCH.plus(POLICY.maxJitter())), is(true));
    }

    private static List<Instant> publications(boolean suppression) {
        Random random = new Random(17);
        List<SnapshotSchedule> schedules = new ArrayList<>();
        for (int i = 0; i < PROCESS_COUNT; i++) {
            schedules.add(
                    SnapshotSchedule.initial(POLICY, Instant.EPOCH, random).afterSnapshot(Instant.EPOCH, random));
        }
        List<Instant> published = new ArrayList<>();
        for (int second = 0; second < 86_400; second++) {
            Instant now = Instant.EPOCH.plusSeconds(second);
            for (int i = 0; i < PROCESS_COUNT; i++) {
                if (schedules.get(i).isDue(now)) {
                    published.add(now);
                    if (suppression) {
                        schedules.replaceAll(schedule -> schedule.afterSnapshot(now, random));
                    } else {
                        schedules.set(i, schedules.get(i).afterSnapshot(now, random));
                    }
                }
            }
        }
        return published;
    }
}
