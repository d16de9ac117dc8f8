package coriandersill.membership;

import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Tracks the states of instances from the platform's list, which lags behind, and from this process's connections and
 * their heartbeats.
 *
 * <pre>{@code
 * MembershipTable table = MembershipTable.of(MembershipSettings.standard(), clock);
 * table.updateFromList(listedMembers);
 * table.connected(member, incarnation);
 * List<Member> candidates = table.inState(MemberState.LIVE);
 * }</pre>
 *
 * <ul>
 *   <li>An instance is {@code LIVE} only while it is connected and its heartbeats arrive in time.
 *   <li>A connected instance is never {@code GONE}, even if the list no longer contains it.
 *   <li>A drain announced by the instance lasts for its incarnation, but counts only while the instance is connected.
 *   <li>A leaving mark in the list lasts until several consecutive readings lack it.
 *   <li>Messages from a replaced incarnation are ignored.
 *   <li>A list that has shrunk too far makes no instance {@code GONE} until several consecutive readings confirm it,
 *       and an empty list never does.
 * </ul>
 *
 * <p>Thread-safe. One lock of rank {@link LockRank#MEMBERSHIP} guards all fields; no callbacks are called while it is
 * held.
 */
public final class MembershipTable {
    private final RankedLock lock = RankedLock.of(LockRank.MEMBERSHIP);
    private final MembershipSettings settings;
    private final MonotonicClock clock;
    private final TreeMap<InstanceId, TrackedMember> members = new TreeMap<>();

    private MembershipTable(MembershipSettings settings, MonotonicClock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Returns an empty table. */
    public static MembershipTable of(MembershipSettings settings, MonotonicClock clock) {
        return new MembershipTable(settings, clock);
    }

    /** Applies one reading of the list of instances. */
    public ListUpdateResult updateFromList(Collection<ListedMember> list) {
        return lock.with(() -> {
            Set<InstanceId> listedIds = new HashSet<>();
            list.forEach(listed -> listedIds.add(listed.member().id()));
            String retentionReason = retentionReason(listedIds);
            for (ListedMember listed : list) {
                applyListing(listed);
            }
            // A missing instance stays listed while the list is implausible and too few readings confirm it. An empty
            // list confirms nothing.
            for (TrackedMember tracked : members.values()) {
                if (!listedIds.isEmpty() && !listedIds.contains(tracked.member.id())) {
                    tracked.missingReadings++;
                    tracked.listed &=
                            !retentionReason.isEmpty() && tracked.missingReadings < settings.confirmingReadings();
                }
            }
            return new ListUpdateResult(retentionReason, updateStates());
        });
    }

    /** Notes that a connection to an instance was opened. */
    public List<MemberChange> connected(Member member, long incarnation) {
        return lock.with(() -> {
            TrackedMember tracked =
                    members.computeIfAbsent(member.id(), id -> new TrackedMember(member, clock.nanos()));
            if (tracked.advanceTo(incarnation)) {
                tracked.member = member;
                tracked.connected = true;
                tracked.lastHeardNanos = clock.nanos();
            }
            return updateStates();
        });
    }

    /** Notes that the connection to an instance was closed. */
    public List<MemberChange> disconnected(InstanceId id, long incarnation) {
        return update(id, incarnation, tracked -> tracked.connected = false);
    }

    /** Notes a heartbeat, or any other message, from a connected instance. */
    public List<MemberChange> heartbeatReceived(InstanceId id, long incarnation) {
        return update(id, incarnation, tracked -> tracked.lastHeardNanos = clock.nanos());
    }

    /** Notes that an instance announced its drain; no later message of this incarnation can revoke it. */
    public List<MemberChange> drainAnnounced(InstanceId id, long incarnation) {
        return update(id, incarnation, tracked -> tracked.drainAnnounced = true);
    }

    /** Updates states for heartbeats that are overdue; to be called at least once per second. */
    public List<MemberChange> checkTimeouts() {
        return lock.with(this::updateStates);
    }

    /** Returns the state of an instance; {@code GONE} if it is not known. */
    public MemberState state(InstanceId id) {
        return lock.with(() -> {
            TrackedMember tracked = members.get(id);
            return tracked == null ? MemberState.GONE : tracked.state;
        });
    }

    /** Returns the instances in the given state, ordered by id. */
    public List<Member> inState(MemberState state) {
        return select(tracked -> tracked.state == state);
    }

    /** Returns the instances of a role to connect to: all that are neither {@code DRAINING} nor {@code GONE}. */
    public List<Member> connectable(Role role) {
        return select(tracked -> tracked.member.role() == role
                && tracked.state != MemberState.GONE
                && tracked.state != MemberState.DRAINING);
    }

    private List<Member> select(Predicate<TrackedMember> condition) {
        return lock.with(() -> members.values().stream()
                .filter(condition)
                .map(tracked -> tracked.member)
                .toList());
    }

    private List<MemberChange> update(InstanceId id, long incarnation, Consumer<TrackedMember> change) {
        return lock.with(() -> {
            TrackedMember tracked = members.get(id);
            if (tracked == null || incarnation < tracked.incarnation) {
                return List.of();
            }
            tracked.advanceTo(incarnation);
            change.accept(tracked);
            return updateStates();
        });
    }

    private void applyListing(ListedMember listed) {
        InstanceId id = listed.member().id();
        TrackedMember tracked =
                members.computeIfAbsent(id, unused -> new TrackedMember(listed.member(), clock.nanos()));
        if (!tracked.connected) {
            tracked.member = listed.member();
        }
        tracked.listed = true;
        tracked.missingReadings = 0;
        tracked.notLeavingReadings = listed.leaving() ? 0 : tracked.notLeavingReadings + 1;
        tracked.leaving =
                listed.leaving() || (tracked.leaving && tracked.notLeavingReadings < settings.confirmingReadings());
    }

    /** Returns why missing instances must be retained after a reading; empty if the reading is plausible. */
    private String retentionReason(Set<InstanceId> listedIds) {
        long listedBefore =
                members.values().stream().filter(tracked -> tracked.listed).count();
        long missing = members.values().stream()
                .filter(tracked -> tracked.listed && !tracked.isDraining())
                .filter(tracked -> !listedIds.contains(tracked.member.id()))
                .count();
        if (listedIds.isEmpty() && listedBefore > 0) {
            return "the list is empty, " + listedBefore + " instances were listed before";
        }
        // One missing instance is plausible even if it is more than the fraction, as in a list of two or three.
        if (missing > 1 && missing > listedBefore * settings.maxMissingFraction()) {
            return missing + " of " + listedBefore + " listed instances are missing at once";
        }
        return "";
    }

    /** Updates the state of every instance, removes those that are gone, and returns the changes. */
    private List<MemberChange> updateStates() {
        List<MemberChange> changes = new ArrayList<>();
        for (Iterator<TrackedMember> iterator = members.values().iterator(); iterator.hasNext(); ) {
            TrackedMember tracked = iterator.next();
            MemberState after = determineState(tracked);
            if (after != tracked.state) {
                changes.add(new MemberChange(tracked.member, tracked.state, after));
                tracked.state = after;
            }
            if (after == MemberState.GONE) {
                iterator.remove();
            }
        }
        return changes;
    }

    private MemberState determineState(TrackedMember tracked) {
        long silentNanos = clock.nanos() - tracked.lastHeardNanos;
        if (!tracked.connected && !tracked.listed) {
            return MemberState.GONE;
        }
        if (tracked.isDraining()) {
            return MemberState.DRAINING;
        }
        if (tracked.connected) {
            return silentNanos > settings.suspectTimeout().toNanos() ? MemberState.SUSPECT : MemberState.LIVE;
        }
        return tracked.incarnation == TrackedMember.NEVER_CONNECTED ? MemberState.JOINING : MemberState.SUSPECT;
    }
}
