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
 * Which instances are there, from the lagging list, this process's connections and heartbeats.
 *
 * <pre>{@code
 * MembershipTable table = MembershipTable.of(MembershipSettings.standard(), clock);
 * table.listed(readings);
 * table.connected(member, incarnation);
 * List<Member> candidates = table.inState(MemberState.LIVE);
 * }</pre>
 *
 * <p>The rules: only a connection with fresh heartbeats makes an instance {@code LIVE}; a connection outweighs the
 * list's silence; a drain told by the instance lasts for its incarnation; a leaving mark of the list lasts until
 * several readings in a row deny it; messages of a replaced incarnation are ignored; a list that has shrunk too far
 * makes nobody {@code GONE} until it is confirmed, and an empty one never does. Safe for use by many threads: one lock
 * of rank {@link LockRank#MEMBERSHIP} guards all fields, and nothing is called under it.
 */
public final class MembershipTable {
    private final RankedLock lock = RankedLock.of(LockRank.MEMBERSHIP);
    private final MembershipSettings settings;
    private final MonotonicClock clock;
    private final TreeMap<InstanceId, MemberEntry> entries = new TreeMap<>();

    private MembershipTable(MembershipSettings settings, MonotonicClock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Returns an empty table. */
    public static MembershipTable of(MembershipSettings settings, MonotonicClock clock) {
        return new MembershipTable(settings, clock);
    }

    /** Takes one reading of the list of instances. */
    public ListUpdateResult updateFromList(Collection<ListedMember> list) {
        return lock.with(() -> {
            Set<InstanceId> present = new HashSet<>();
            list.forEach(line -> present.add(line.member().id()));
            String doubt = doubt(present);
            for (ListedMember line : list) {
                take(line);
            }
            for (MemberEntry entry : entries.values()) {
                if (!present.isEmpty() && !present.contains(entry.member.id())) {
                    entry.missedReads++;
                    entry.listed &= !doubt.isEmpty() && entry.missedReads < settings.confirmingReads();
                }
            }
            return new ListUpdateResult(doubt, settle());
        });
    }

    /** Notes that a connection to an instance is open. */
    public List<MemberChange> connected(Member member, long incarnation) {
        return lock.with(() -> {
            MemberEntry entry = entries.computeIfAbsent(member.id(), id -> new MemberEntry(member, clock.nanos()));
            if (entry.advance(incarnation)) {
                entry.member = member;
                entry.connected = true;
                entry.lastHeardNanos = clock.nanos();
            }
            return settle();
        });
    }

    /** Notes that the connection to an instance has ended. */
    public List<MemberChange> disconnected(InstanceId id, long incarnation) {
        return update(id, incarnation, entry -> entry.connected = false);
    }

    /** Notes a heartbeat, or any other message, of a connected instance. */
    public List<MemberChange> heartbeatReceived(InstanceId id, long incarnation) {
        return update(id, incarnation, entry -> entry.lastHeardNanos = clock.nanos());
    }

    /** Notes that an instance has told that it is leaving; no later message of this incarnation takes it back. */
    public List<MemberChange> drainAnnounced(InstanceId id, long incarnation) {
        return update(id, incarnation, entry -> entry.told = true);
    }

    /** Judges the passing of time; to be called at least once a second. */
    public List<MemberChange> checkTimeouts() {
        return lock.with(this::settle);
    }

    /** The state of an instance; {@code GONE} when it is not known. */
    public MemberState state(InstanceId id) {
        return lock.with(() -> {
            MemberEntry entry = entries.get(id);
            return entry == null ? MemberState.GONE : entry.state;
        });
    }

    /** The instances in one state, in order of name. */
    public List<Member> inState(MemberState state) {
        return select(entry -> entry.state == state);
    }

    /** The instances of a role that are worth a connection: all but those that are leaving or gone. */
    public List<Member> connectable(Role role) {
        return select(entry ->
                entry.member.role() == role && entry.state != MemberState.GONE && entry.state != MemberState.DRAINING);
    }

    private List<Member> select(Predicate<MemberEntry> condition) {
        return lock.with(() -> entries.values().stream()
                .filter(condition)
                .map(entry -> entry.member)
                .toList());
    }

    private List<MemberChange> update(InstanceId id, long incarnation, Consumer<MemberEntry> change) {
        return lock.with(() -> {
            MemberEntry entry = entries.get(id);
            if (entry == null || incarnation < entry.incarnation) {
                return List.of();
            }
            entry.advance(incarnation);
            change.accept(entry);
            return settle();
        });
    }

    private void take(ListedMember line) {
        InstanceId id = line.member().id();
        MemberEntry entry = entries.computeIfAbsent(id, unused -> new MemberEntry(line.member(), clock.nanos()));
        if (!entry.connected) {
            entry.member = line.member();
        }
        entry.listed = true;
        entry.missedReads = 0;
        entry.stayingReads = line.leaving() ? 0 : entry.stayingReads + 1;
        entry.leaving = line.leaving() || (entry.leaving && entry.stayingReads < settings.confirmingReads());
    }

    private String doubt(Set<InstanceId> present) {
        long known = entries.values().stream().filter(entry -> entry.listed).count();
        long missing = entries.values().stream()
                .filter(entry -> entry.listed && !entry.draining())
                .filter(entry -> !present.contains(entry.member.id()))
                .count();
        if (present.isEmpty() && known > 0) {
            return "the list is empty, " + known + " instances were listed before";
        }
        if (missing > 1 && missing > known * settings.maxShrink()) {
            return missing + " of " + known + " listed instances are missing at once";
        }
        return "";
    }

    private List<MemberChange> settle() {
        List<MemberChange> changes = new ArrayList<>();
        for (Iterator<MemberEntry> all = entries.values().iterator(); all.hasNext(); ) {
            MemberEntry entry = all.next();
            MemberState after = judge(entry);
            if (after != entry.state) {
                changes.add(new MemberChange(entry.member, entry.state, after));
                entry.state = after;
            }
            if (after == MemberState.GONE) {
                all.remove();
            }
        }
        return changes;
    }

    private MemberState judge(MemberEntry entry) {
        long silent = clock.nanos() - entry.lastHeardNanos;
        if (!entry.connected && !entry.listed) {
            return MemberState.GONE;
        }
        if (entry.draining()) {
            return MemberState.DRAINING;
        }
        if (entry.connected) {
            return silent > settings.suspectAfter().toNanos() ? MemberState.SUSPECT : MemberState.LIVE;
        }
        return entry.incarnation == Long.MIN_VALUE ? MemberState.JOINING : MemberState.SUSPECT;
    }
}
