package coriandersill.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Checks the states of instances and the handover between two sidecars of one upstream (cases R10 and R4 in
 * docs/design/membership.md).
 */
final class MembershipTableTest {
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final MembershipTable table = MembershipTable.of(MembershipSettings.standard(), clock);

    @Test
    void onlyAConnectionWithFreshHeartbeatsMakesAnInstanceLive() {
        table.updateFromList(list(1, 2));
        assertThat(table.state(id(1)), is(MemberState.JOINING));
        table.connected(member(1), 5);
        assertThat(table.state(id(1)), is(MemberState.LIVE));
        clock.advance(Duration.ofMillis(3001));
        table.checkTimeouts();
        assertThat(table.state(id(1)), is(MemberState.SUSPECT));
        table.heartbeatReceived(id(1), 5);
        assertThat(table.state(id(1)), is(MemberState.LIVE));
        table.disconnected(id(1), 5);
        assertThat(table.state(id(1)), is(MemberState.SUSPECT));
    }

    @Test
    void anEmptyListNeverRemovesInstances() {
        table.updateFromList(list(1, 2, 3));
        table.connected(member(1), 5);
        for (int reading = 0; reading < 20; reading++) {
            assertThat(table.updateFromList(List.of()).retentionReason(), containsString("the list is empty"));
        }
        assertThat(table.state(id(1)), is(MemberState.LIVE));
        assertThat(table.connectable(Role.SIDECAR).size(), is(3));
    }

    @Test
    void aListThatLosesHalfItsInstancesAtOnceIsAppliedOnlyWhenSeveralReadingsAgree() {
        table.updateFromList(list(1, 2, 3, 4));
        table.connected(member(1), 5);
        for (int reading = 0; reading < 4; reading++) {
            assertThat(table.updateFromList(list(3, 4)).isPlausible(), is(false));
            assertThat(table.state(id(2)), is(MemberState.JOINING));
        }
        table.updateFromList(list(3, 4));
        assertThat(table.state(id(2)), is(MemberState.GONE));
        assertThat("a connected instance is kept", table.state(id(1)), is(MemberState.LIVE));
    }

    @Test
    void oneInstanceThatLeavesTheListIsGoneAtOnceUnlessConnected() {
        table.updateFromList(list(1, 2, 3, 4));
        table.connected(member(2), 5);
        assertThat(table.updateFromList(list(3, 4, 2)).isPlausible(), is(true));
        assertThat(table.state(id(1)), is(MemberState.GONE));
        table.updateFromList(list(3, 4));
        assertThat(table.state(id(2)), is(MemberState.LIVE));
        table.disconnected(id(2), 5);
        assertThat(table.state(id(2)), is(MemberState.GONE));
    }

    @Test
    void aDrainIsImmediateAndLastsForTheIncarnation() {
        table.updateFromList(list(1));
        table.connected(member(1), 5);
        List<MemberChange> changes = table.drainAnnounced(id(1), 5);
        assertThat(changes, is(List.of(new MemberChange(member(1), MemberState.LIVE, MemberState.DRAINING))));
        table.heartbeatReceived(id(1), 5);
        table.disconnected(id(1), 5);
        table.connected(member(1), 5);
        table.updateFromList(list(1));
        assertThat(table.state(id(1)), is(MemberState.DRAINING));
        table.connected(member(1), 6);
        assertThat(table.state(id(1)), is(MemberState.LIVE));
        table.drainAnnounced(id(1), 5);
        table.disconnected(id(1), 5);
        assertThat("a replaced incarnation changes nothing", table.state(id(1)), is(MemberState.LIVE));
        table.disconnected(id(1), 6);
        table.connected(member(1), 5);
        assertThat("a late connection of it changes nothing either", table.state(id(1)), is(MemberState.SUSPECT));
    }

    @Test
    void aListThatFlapsBetweenLeavingAndStayingKeepsTheInstanceDraining() {
        table.connected(member(1), 5);
        for (int reading = 0; reading < 12; reading++) {
            table.updateFromList(List.of(new ListedMember(member(1), reading % 2 == 0)));
            assertThat(table.state(id(1)), is(MemberState.DRAINING));
        }
        for (int reading = 0; reading < 5; reading++) {
            table.updateFromList(list(1));
        }
        assertThat(table.state(id(1)), is(MemberState.LIVE));
    }

    @Test
    void duringAHandoverOnlyTheNewerSidecarAdmitsAndTheSumStaysWithinTheLimit() {
        SidecarHandover older = SidecarHandover.of(1, clock, Duration.ofSeconds(2));
        SidecarHandover newer = SidecarHandover.of(2, clock, Duration.ofSeconds(2));
        assertThat("it waits for the discovery period first", newer.concurrencyLimit(4), is(0));
        older.noOtherSidecars();
        assertThat(older.concurrencyLimit(4), is(4));
        newer.sidecarObserved(1, false, 3);
        clock.advance(Duration.ofSeconds(3));
        assertThat("the older one still admits", newer.concurrencyLimit(4), is(0));
        older.sidecarObserved(2, false, 0);
        assertThat(older.concurrencyLimit(4), is(0));
        newer.sidecarObserved(1, true, 3);
        assertThat(newer.concurrencyLimit(4), is(1));
        newer.sidecarObserved(1, false, 4);
        assertThat("a late report of the older one does not revoke its drain", newer.concurrencyLimit(4), is(1));
        newer.sidecarStopped(1);
        assertThat(newer.concurrencyLimit(4), is(4));
        assertThat(older.isSuperseded(), is(true));
    }

    @Test
    void aSidecarThatObservesNoOtherAdmitsAfterTheDiscoveryPeriod() {
        SidecarHandover first = SidecarHandover.of(1, clock, Duration.ofSeconds(2));
        clock.advance(Duration.ofSeconds(2));
        assertThat(first.concurrencyLimit(4), is(4));
    }

    private static List<ListedMember> list(int... numbers) {
        List<ListedMember> list = new ArrayList<>();
        for (int number : numbers) {
            list.add(new ListedMember(member(number), false));
        }
        return list;
    }

    private static InstanceId id(int number) {
        return InstanceId.of("sidecar-" + number);
    }

    private static Member member(int number) {
        AvailabilityZone zone = AvailabilityZone.of("shewa-a");
        return new Member(id(number), Role.SIDECAR, zone, "127.0.0.1", number, Optional.empty(), Optional.empty());
    }
}
